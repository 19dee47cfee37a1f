package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.EndCause;
import org.persimmonloom.core.scheduling.EndedTask;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.RunningTask;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * A scheduler with workers that carry out its orders at once, on a clock of its own. Not
 * thread-safe.
 */
final class PassFleet {
  private static final int SERVICES = 4;
  private static final String SPARE = "spare";
  private static final Resources CAPACITY = new Resources(16_000, 32_000, 0);
  private static final int WORKERS_PER_RACK = 8;
  private static final int LASTING_TASKS = 24;
  private static final long BORN = 1_000;
  private static final long STEP_MILLIS = 4;

  private final WorkflowTable table = new WorkflowTable();
  private final WorkflowRecords records = new WorkflowRecords();
  private final List<WorkerFacts> workers = new ArrayList<>();
  private final Map<String, Map<TaskId, Integer>> running = new HashMap<>();
  private final Map<String, Long> ends = new HashMap<>();
  private final Random random;
  private final FleetScheduler scheduler;
  private long now = 100_000;
  private int submitted;

  PassFleet(int workerCount, int workflows, long seed) {
    random = new Random(seed);
    SchedulingSettings settings = new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000);
    scheduler = new FleetScheduler(settings, 0, now, now);
    Map<String, QueuePolicy> queues = new HashMap<>();
    Set<String> services = new HashSet<>();
    for (int service = 0; service < SERVICES; service++) {
      QueuePolicy policy = policy(service);
      queues.put(policy.queue(), policy);
      services.add(policy.service());
    }
    scheduler.configure(queues, services, Set.of(SPARE), Set.of());
    for (int i = 0; i < workerCount; i++) {
      addWorker(i);
    }
    scheduler.workersListed(workers, now);
    scheduler.leaseHoldersRecorded(scheduler.takeLeaseHolders());
    scheduler
        .machines()
        .machinesListed(workers.stream().map(PassFleet::machine).toList(), now, now);
    workers.forEach(worker -> report(worker, List.of()));
    for (int i = 0; i < workflows; i++) {
      boolean isLasting = i < SERVICES || i % 100 == 0;
      submit(isLasting ? lasting() : steps());
    }
    settle();
  }

  private static QueuePolicy policy(int service) {
    return new QueuePolicy("queue-" + service, "service-" + service, service % 2, 3, 1.5, 600, 0);
  }

  /** Every sixth worker is in the spare pool. */
  private void addWorker(int number) {
    boolean isSpare = number % 6 == 5;
    String service = isSpare ? SPARE : policy(number % 6 % SERVICES).service();
    String rack = "rack-" + number / WORKERS_PER_RACK;
    WorkerFacts facts =
        new WorkerFacts(
            "worker-" + number,
            "10.0.0.1:80",
            service,
            "a",
            false,
            CAPACITY,
            Set.of("kind-a", rack),
            BORN);
    workers.add(facts);
    running.put(facts.id(), new LinkedHashMap<>());
    ends.put(facts.id(), 0L);
  }

  private static MachineFacts machine(WorkerFacts worker) {
    return new MachineFacts(
        "host-" + worker.id(),
        worker.service(),
        MachineFacts.State.UP,
        worker.labels(),
        worker.capacity(),
        worker.id());
  }

  private List<StepSpec> steps() {
    int cpuMillis = random.nextInt(4) == 0 ? 3_300 : 1_500;
    StepSpec first = step(8, cpuMillis, List.of(), 0);
    return random.nextInt(10) < 4
        ? List.of(first)
        : List.of(first, step(8, cpuMillis, List.of(0), 0));
  }

  private static List<StepSpec> lasting() {
    return List.of(step(LASTING_TASKS, 1_000, List.of(), 2));
  }

  private static StepSpec step(int tasks, int cpuMillis, List<Integer> after, int maxPerWorker) {
    boolean isLasting = maxPerWorker > 0;
    return new StepSpec(
        tasks,
        new Resources(cpuMillis, 200, 0),
        isLasting ? 0 : 540,
        after,
        false,
        false,
        false,
        "",
        "",
        maxPerWorker,
        false,
        isLasting,
        "image",
        isLasting ? 500 : 0,
        false,
        isLasting ? 2 : 0);
  }

  private void submit(List<StepSpec> steps) {
    QueuePolicy policy = policy(submitted % SERVICES);
    String id = "workflow-" + submitted;
    submitted++;
    WorkflowSpec spec = new WorkflowSpec(id, policy, "payload", steps, 0, 0, 0, now);
    table
        .apply(records.submission(spec), submitted)
        .ifPresent(entry -> scheduler.workflowChanged(entry.copy(), now, now, false));
  }

  private void settle() {
    List<Order> orders = decide();
    while (!orders.isEmpty()) {
      obey(orders);
      orders = decide();
    }
  }

  FleetScheduler scheduler() {
    return scheduler;
  }

  long now() {
    return now;
  }

  /** Lets some time pass and returns the scheduler's orders. */
  List<Order> decide() {
    now += STEP_MILLIS;
    return scheduler.decide(now, now);
  }

  /** Carries out the orders, answers them and records the progress. */
  void obey(List<Order> orders) {
    Set<WorkerFacts> touched = new HashSet<>();
    for (Order order : orders) {
      Map<TaskId, Integer> present = running.get(order.worker().id());
      if (order instanceof Order.Start) {
        present.put(order.task(), order.run());
      } else if (order instanceof Order.Stop) {
        present.remove(order.task());
      }
      scheduler.orderAnswered(order, CallResult.ACCEPTED, now);
      touched.add(order.worker());
    }
    now += STEP_MILLIS;
    touched.forEach(worker -> report(worker, List.of()));
    scheduler.progressRecorded(scheduler.takeProgress(now));
  }

  void report(WorkerFacts worker, List<EndedTask> ended) {
    scheduler.workerReported(worker, now - 1, answer(worker, ended), now);
  }

  WorkerReport answer(WorkerFacts worker, List<EndedTask> ended) {
    List<RunningTask> present = new ArrayList<>();
    running
        .get(worker.id())
        .forEach((task, run) -> present.add(new RunningTask(task, run, "", 100, 50)));
    return new WorkerReport(now, BORN, present, ended);
  }

  /** Returns a random worker of a running service. */
  WorkerFacts anyWorker() {
    WorkerFacts worker = workers.get(random.nextInt(workers.size()));
    return worker.service().equals(SPARE) ? anyWorker() : worker;
  }

  Set<String> othersThan(WorkerFacts worker) {
    Set<String> others = new HashSet<>(running.keySet());
    others.remove(worker.id());
    return others;
  }

  /** Submits a workflow, ends the short tasks of a worker and returns their ends. */
  List<EndedTask> change(WorkerFacts worker) {
    submit(steps());
    Map<TaskId, Integer> present = running.get(worker.id());
    List<EndedTask> ended = new ArrayList<>();
    Map.copyOf(present)
        .forEach(
            (task, run) -> {
              if (table.find(task.workflow()).orElseThrow().spec().orElseThrow().isLongRunning()) {
                return;
              }
              present.remove(task);
              long number = ends.merge(worker.id(), 1L, Long::sum);
              ended.add(new EndedTask(number, task, run, EndCause.DONE, ""));
            });
    return ended;
  }
}
