package org.persimmonloom.runtime.workflow;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.LeaseHolderBatch;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.ProgressBatch;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.OccurrenceProgress;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * A random history of one log, some hosts that follow it and owners of the fleet, drawn from a
 * seed. Submissions are repeated up to {@link #MAX_REPEAT_DELAY_MILLIS} later, hosts load the table
 * anew at random points, workers are out of reach of a host for a while, and the owner changes. Not
 * thread-safe.
 */
final class WorkflowHistory {
  private static final int HOSTS = 3;
  private static final long MAX_REPEAT_DELAY_MILLIS = 10_000;
  private static final long RETENTION_MILLIS = 15_000;
  private static final long OWNER_TIMEOUT_MILLIS = 8_000;
  private static final String QUEUE = "q";

  /** Which events a history has beside submissions, progress and changes of the owner. */
  record Options(boolean hasReroutes, boolean hasRepeatsOfNewRoute, boolean hasEarlyCancels) {}

  private static final class Host {
    final WorkflowReplica replica = new WorkflowReplica();
    long position;

    /** Until when each worker is out of reach of this host. */
    final Map<String, Long> unreachableUntil = new HashMap<>();
  }

  private record Repeat(long dueMillis, WorkflowSpec spec) {}

  /** One term of an owner; its loop runs the changes in the order of their arrival. */
  private final class Term {
    final Host host;
    final long fence;
    final FleetScheduler scheduler;
    final Queue<Runnable> loop = new ArrayDeque<>();
    final Set<String> inHold = new HashSet<>();
    boolean isObserving;
    boolean isOver;
    long replacedMillis = Long.MAX_VALUE;
    ProgressBatch batch;
    boolean isWritten;

    Term(Host host, long fence) {
      this.host = host;
      this.fence = fence;
      append(records.takeover(fence));
      follow(host, Integer.MAX_VALUE);
      scheduler = new FleetScheduler(SETTINGS, host.position, now, now);
      scheduler.leaseHoldersLoaded(host.replica.leaseHolders());
    }

    void startDeciding() {
      isObserving = true;
      configure();
      host.replica.setObserver(
          new WorkflowReplica.Observer() {
            @Override
            public void workflowChanged(WorkflowEntry entry, boolean isBacklog) {
              WorkflowEntry copy = entry.copy();
              loop.add(() -> scheduler.workflowChanged(copy, now, now, isBacklog));
            }

            @Override
            public void takeoverRead(long newFence) {
              loop.add(() -> isOver |= newFence > fence);
            }
          });
      loop.add(() -> scheduler.workersListed(workers.facts(), now));
    }

    void configure() {
      String service = currentService;
      Set<String> rerouted = isRerouted ? Set.of(QUEUE) : Set.of();
      loop.add(
          () ->
              scheduler.configure(
                  Map.of(QUEUE, policy(service)), Set.of("s1", "s2"), Set.of(), rerouted));
    }

    void act() {
      isOver |= now - OWNER_TIMEOUT_MILLIS > replacedMillis;
      for (int left = random.nextInt(12); left > 0 && !loop.isEmpty() && !isOver; left--) {
        loop.remove().run();
      }
      if (isOver || !isObserving) {
        return;
      }
      if (random.nextInt(3) == 0) {
        loop.add(this::pass);
      }
      if (batch != null && !isWritten && random.nextInt(4) == 0) {
        write();
      }
    }

    private void pass() {
      for (Order order : scheduler.decide(now, now)) {
        if (order instanceof Order.Start start
            && cancelledEarly.contains(start.task().workflow())) {
          throw new AssertionError("start of " + start.task() + ", which was cancelled before");
        }
        CallResult result =
            isReachable(order.worker().id())
                ? workers.execute(order, fence, now)
                : CallResult.NOT_SENT;
        isOver |= result == CallResult.FENCED;
        loop.add(() -> scheduler.orderAnswered(order, result, now));
      }
      for (HoldOrder hold : scheduler.dueHolds(inHold, now)) {
        hold(hold);
      }
      LeaseHolderBatch holders = scheduler.takeLeaseHolders();
      if (mayAppend()) {
        holders.records().forEach(WorkflowHistory.this::append);
        loop.add(() -> scheduler.leaseHoldersRecorded(holders));
        if (random.nextInt(40) == 0) {
          host.replica.removals(now, RETENTION_MILLIS).forEach(WorkflowHistory.this::append);
        }
      }
      if (batch == null) {
        ProgressBatch taken = scheduler.takeProgress(now);
        batch = taken.isEmpty() ? null : taken;
      }
    }

    private void hold(HoldOrder hold) {
      String worker = hold.worker().id();
      long sent = now;
      inHold.add(worker);
      if (!isReachable(worker)) {
        loop.add(
            () -> {
              inHold.remove(worker);
              scheduler.holdFailed(hold.worker(), CallResult.UNKNOWN, now);
            });
        return;
      }
      WorkerReport report = workers.hold(hold, fence, now);
      isOver |= report == null;
      loop.add(
          () -> {
            inHold.remove(worker);
            scheduler.workerReported(hold.worker(), sent, report, now);
          });
    }

    private boolean isReachable(String worker) {
      return now >= host.unreachableUntil.getOrDefault(worker, 0L);
    }

    private boolean mayAppend() {
      return fence == newestFence;
    }

    private void write() {
      if (!mayAppend()) {
        isOver = true;
        return;
      }
      ProgressBatch written = batch;
      isWritten = true;
      written.records().forEach(WorkflowHistory.this::append);
      loop.add(
          () -> {
            batch = null;
            isWritten = false;
            scheduler.progressRecorded(written);
          });
    }
  }

  private static final SchedulingSettings SETTINGS =
      new SchedulingSettings(6_000, OWNER_TIMEOUT_MILLIS, 3_000, 900, RETENTION_MILLIS);

  private final Random random;
  private final Options options;
  private final WorkflowRecords records = new WorkflowRecords();
  private final List<StoredRecord> log = new ArrayList<>();

  /** What the whole log adds up to. */
  private final WorkflowTable truth = new WorkflowTable();

  private final List<Host> hosts = new ArrayList<>();
  private final List<Term> terms = new ArrayList<>();
  private final List<Repeat> repeats = new ArrayList<>();
  private final List<String> submitted = new ArrayList<>();
  private final Set<String> cancelledEarly = new HashSet<>();
  private final HistoryWorkers workers = new HistoryWorkers(2, this::checkRecorded);
  private String currentService = "s1";

  /** Whether the queue was routed to another service, which the hosts read at once. */
  private boolean isRerouted;

  private long now = 100_000;
  private long newestFence;

  WorkflowHistory(long seed, Options options) {
    random = new Random(seed);
    this.options = options;
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new Host());
    }
  }

  /** Plays the history; fails at the first broken rule. */
  void play(int steps) {
    takeOver();
    for (int step = 0; step < steps; step++) {
      now += random.nextInt(30);
      workers.advance(random, now);
      submitAndCancel();
      disturb();
      hosts.forEach(host -> follow(host, random.nextInt(4)));
      terms.forEach(Term::act);
      terms.removeIf(term -> term.isOver);
      if (terms.stream().noneMatch(term -> term.fence == newestFence) || random.nextInt(400) == 0) {
        takeOver();
      }
    }
  }

  /** Returns how many runs the workers have started. */
  int starts() {
    return workers.starts();
  }

  private void append(TableRecord record) {
    StoredRecord stored = new StoredRecord(log.size(), record);
    log.add(stored);
    if (records.entry(record.key()).isPresent()) {
      truth.apply(record, stored.offset());
    }
  }

  private void takeOver() {
    newestFence += 1 + random.nextInt(50);
    terms.forEach(term -> term.replacedMillis = Math.min(term.replacedMillis, now));
    Host host = hosts.get(random.nextInt(HOSTS));
    terms.stream().filter(term -> term.host == host).forEach(term -> term.isOver = true);
    terms.removeIf(term -> term.isOver);
    host.replica.removeObserver();
    Term term = new Term(host, newestFence);
    // The owner reads other tables between the creation of the scheduler and its start.
    for (int i = random.nextInt(6); i > 0; i--) {
      submitAndCancel();
      follow(host, random.nextInt(4));
      disturb();
    }
    term.startDeciding();
    terms.add(term);
  }

  private void submitAndCancel() {
    if (random.nextInt(25) == 0) {
      WorkflowSpec spec = workflow("w" + submitted.size());
      submitted.add(spec.id());
      if (options.hasEarlyCancels() && random.nextInt(4) == 0) {
        cancelledEarly.add(spec.id());
        append(records.cancellation(spec.id()));
      }
      append(records.submission(spec));
      for (int count = random.nextInt(3); count > 0; count--) {
        repeats.add(new Repeat(now + random.nextInt((int) MAX_REPEAT_DELAY_MILLIS), spec));
      }
    }
    for (Repeat repeat : repeats.stream().filter(due -> due.dueMillis() <= now).toList()) {
      repeats.remove(repeat);
      WorkflowSpec spec = repeat.spec();
      append(
          records.submission(
              options.hasRepeatsOfNewRoute() ? withPolicy(spec, policy(currentService)) : spec));
    }
    if (random.nextInt(150) == 0 && !submitted.isEmpty()) {
      String id = submitted.get(submitted.size() - 1 - random.nextInt(submitted.size()) / 4);
      if (truth.find(id).filter(entry -> !entry.state().isFinal()).isPresent()) {
        append(records.cancellation(id));
      }
    }
  }

  private WorkflowSpec workflow(String id) {
    List<StepSpec> steps = new ArrayList<>();
    steps.add(step(List.of()));
    if (random.nextBoolean()) {
      steps.add(step(List.of(0)));
    }
    int repeatCount = random.nextInt(4) == 0 ? 3 : 0;
    return new WorkflowSpec(
        id, policy(currentService), "payload", steps, repeatCount, now + 300, 900, now);
  }

  private static WorkflowSpec withPolicy(WorkflowSpec spec, QueuePolicy policy) {
    return new WorkflowSpec(
        spec.id(),
        policy,
        spec.payload(),
        spec.steps(),
        spec.repeatCount(),
        spec.firstMillis(),
        spec.intervalMillis(),
        spec.acceptedMillis());
  }

  private StepSpec step(List<Integer> after) {
    Resources request = new Resources(200, 100, 0);
    int tasks = 1 + random.nextInt(3);
    return new StepSpec(
        tasks, request, 500, after, false, false, false, "", "", 0, false, false, "", 0, false, 0);
  }

  private static QueuePolicy policy(String service) {
    return new QueuePolicy(QUEUE, service, 0, 3, 1.5, 600, 0);
  }

  /** Loads a table anew, cuts a host off from a worker, or routes the queue to another service. */
  private void disturb() {
    if (random.nextInt(60) == 0) {
      load(hosts.get(random.nextInt(HOSTS)));
    }
    if (random.nextInt(80) == 0) {
      String worker = workers.facts().get(random.nextInt(4)).id();
      int millis = random.nextInt(6_000);
      hosts.get(random.nextInt(HOSTS)).unreachableUntil.put(worker, now + millis);
    }
    if (options.hasReroutes() && random.nextInt(150) == 0) {
      currentService = currentService.equals("s1") ? "s2" : "s1";
      isRerouted = true;
      terms.stream().filter(term -> term.isObserving).forEach(Term::configure);
    }
  }

  private void follow(Host host, int count) {
    for (int left = count; left > 0 && host.position < log.size(); left--) {
      host.replica.apply(log.get((int) host.position));
      host.position++;
    }
  }

  /** Loads the newest record of each key at a position that is not before that of the host. */
  private void load(Host host) {
    long end = host.position + random.nextInt((int) (log.size() - host.position) + 1);
    Map<String, StoredRecord> newest = new TreeMap<>();
    log.subList(0, (int) end).forEach(stored -> newest.put(stored.record().key(), stored));
    TableFollower.Load load = host.replica.beginLoad();
    newest.values().stream()
        .filter(stored -> stored.record().value() != null)
        .sorted(Comparator.comparingLong(StoredRecord::offset))
        .forEach(load::add);
    load.publish();
    host.position = end;
  }

  /** Checks that an end as done is recorded, or that its workflow has ended. */
  private void checkRecorded(TaskId task) {
    Optional<WorkflowEntry> entry = truth.find(task.workflow());
    if (entry.isPresent() && entry.get().state().isFinal()) {
      return;
    }
    Optional<OccurrenceProgress> progress = entry.flatMap(e -> e.progress(task.occurrence()));
    int position =
        entry.flatMap(WorkflowEntry::spec).map(spec -> spec.firstTask(task.step())).orElse(0)
            + task.index();
    if (progress.filter(p -> BitSet.valueOf(p.done()).get(position)).isEmpty()) {
      throw new AssertionError("end as done of " + task + " acknowledged before it is recorded");
    }
  }
}
