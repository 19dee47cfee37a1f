package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;

/**
 * A deployment on one thread: entry hosts with real schedulers, workers, the store and the host
 * list, disturbed by the faults of a plan. The same plan gives the same run. Not thread-safe.
 */
final class StepModel {
  static final SchedulingSettings SETTINGS =
      new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000);
  static final Set<String> SERVICES = Set.of("laundry", "kitchen");
  static final int ATTEMPTS = 3;
  static final Comparator<TaskId> TASK_ORDER = Comparator.comparing(TaskId::toString);
  private static final long WALL_OFFSET_MILLIS = 1_000_000_000L;

  private final StepPlan plan;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<String> trace;
  private final StepModelStore store = new StepModelStore();
  private final StepLedger ledger = new StepLedger(ATTEMPTS);
  private final List<StepModelHost> hosts = new ArrayList<>();
  private final StepModelFaults faults;
  private final StepModelFleet fleet;
  private long now = 10_000;
  private long eventCount;

  /** What a worker does with a call. */
  interface WorkerOperation {
    void carryOut(StepModelWorker worker, StepModelChannels.Answer answer);
  }

  private record Event(long millis, long number, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(millis, other.millis);
      return byTime == 0 ? Long.compare(number, other.number) : byTime;
    }
  }

  StepModel(StepPlan plan, List<String> trace) {
    this.plan = plan;
    this.trace = trace;
    faults = new StepModelFaults(this, plan);
    fleet = new StepModelFleet(this, plan.workers());
    for (int number = 0; number < plan.hosts(); number++) {
      hosts.add(new StepModelHost(this, number));
    }
    new StepModelLoad(this, plan.seed()).start();
  }

  long eventCount() {
    return eventCount;
  }

  /** Plays the plan until a rule is broken or the time is over; returns the violations. */
  List<String> play() {
    long end = now + StepPlan.END_MILLIS;
    while (!events.isEmpty() && now < end && ledger.violations().isEmpty()) {
      Event event = events.remove();
      now = event.millis;
      event.action.run();
    }
    return ledger.violations();
  }

  long now() {
    return now;
  }

  long wall() {
    return WALL_OFFSET_MILLIS + now;
  }

  void at(long millis, Runnable action) {
    events.add(new Event(Math.max(now, millis), eventCount++, action));
  }

  /** Returns a number below the bound that follows from the seed, the time and a label. */
  int noise(int bound, String label) {
    return (int) Long.remainderUnsigned(mix(plan.seed() * 1_000_003 + now, label), bound);
  }

  private static long mix(long value, String label) {
    long mixed = value * 0x9E3779B97F4A7C15L + label.hashCode();
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  static long taskMillis(TaskId task, int run) {
    long mixed = mix(run, task.toString());
    long most = Long.remainderUnsigned(mixed, 10) < 7 ? 1_200 : 8_700;
    return 300 + Long.remainderUnsigned(mixed >>> 8, most);
  }

  static boolean fails(TaskId task, int run) {
    return Long.remainderUnsigned(mix(run + 77, task.toString()), 12) == 0;
  }

  void trace(String format, Object... arguments) {
    if (trace != null) {
      trace.add(now + " " + String.format(format, arguments));
    }
  }

  StepModelStore store() {
    return store;
  }

  StepLedger ledger() {
    return ledger;
  }

  StepModelFaults faults() {
    return faults;
  }

  List<StepModelHost> hosts() {
    return hosts;
  }

  StepModelFleet fleet() {
    return fleet;
  }

  int pageSize() {
    return plan.pageSize();
  }

  /** Returns the number of the present owner; 0 if there is none. */
  int owner() {
    return hosts.stream()
        .filter(host -> host.election.isOwner() && !host.isFrozen())
        .mapToInt(host -> host.number)
        .findFirst()
        .orElse(0);
  }

  int peerOf(int host) {
    return (host + 1 + noise(plan.hosts() - 1, "peer " + host)) % plan.hosts();
  }

  String route() {
    return faults.isActive(StepFault.Kind.REROUTED) ? "kitchen" : "laundry";
  }

  /** Returns the queues that have had another service, which the hosts know. */
  Set<String> reroutedQueues() {
    return faults.hasBegun(StepFault.Kind.REROUTED) ? policies().keySet() : Set.of();
  }

  Map<String, QueuePolicy> policies() {
    return Map.of("orders", policy(route()));
  }

  static QueuePolicy policy(String service) {
    return new QueuePolicy("orders", service, 0, ATTEMPTS, 1.5, 600, 0);
  }

  void advanceWorkers() {
    fleet.advance();
  }

  void listMachines(Consumer<List<MachineFacts>> answer) {
    at(now + 1 + noise(150, "list"), () -> fleet.list(answer));
  }

  /** Delivers a call to the store; an answer that is lost is not passed on. */
  <T> void storeCall(int host, Supplier<T> operation, Consumer<T> answer) {
    at(
        now + 1 + noise(4, "store " + host),
        () -> {
          if (faults.isStoreSilent(host) || hosts.get(host).isFrozen() && isRelay(host)) {
            return;
          }
          if (faults.isActive(StepFault.Kind.STORE_CALLS_LATE, host)) {
            at(now + 300 + noise(11_700, "late " + host), operation::get);
            return;
          }
          T result = operation.get();
          if (!faults.isActive(StepFault.Kind.STORE_ANSWERS_LOST, host)) {
            at(now + 1 + noise(4, "answer " + host), () -> answer.accept(result));
          }
        });
  }

  /** A frozen host passes on no call of another one; its own calls are on their way already. */
  private boolean isRelay(int host) {
    return hosts.get(host).isFrozen();
  }

  /** Delivers a call to the process at an address. */
  void workerCall(
      int host,
      String id,
      String address,
      WorkerOperation operation,
      StepModelChannels.Answer answer) {
    int machine = fleet.machineOf(address);
    at(
        now + 1 + noise(3, "call " + address),
        () -> {
          if (faults.isLink(StepFault.Kind.LINK_CUT, host, machine)) {
            return;
          }
          StepModelWorker worker = fleet.workerAt(address);
          if (faults.isLink(StepFault.Kind.LINK_REFUSED, host, machine) || worker == null) {
            answer.accept(CallResult.NOT_SENT, null);
            return;
          }
          if (!worker.id.equals(id)) {
            answer.accept(CallResult.GONE, null);
            return;
          }
          if (faults.isLink(StepFault.Kind.LINK_LATE, host, machine)) {
            at(
                now + 300 + noise(11_700, "late " + address),
                () -> {
                  // A process that has started again does not get what was sent to the one before.
                  if (!worker.isGone) {
                    operation.carryOut(worker, (result, report) -> {});
                  }
                });
            return;
          }
          operation.carryOut(
              worker, (result, report) -> answerCall(host, machine, result, report, answer));
        });
  }

  private void answerCall(
      int host,
      int machine,
      CallResult result,
      org.persimmonloom.core.scheduling.WorkerReport report,
      StepModelChannels.Answer answer) {
    if (!faults.isLink(StepFault.Kind.LINK_ANSWERS_LOST, host, machine)
        && !faults.isLink(StepFault.Kind.LINK_CUT, host, machine)) {
      int slow = noise(20, "slow " + machine) == 0 ? 300 : 3;
      at(now + 1 + noise(slow, "reply " + machine), () -> answer.accept(result, report));
    }
  }

  boolean takeFreezeInPass(StepModelHost host, int stages) {
    return faults.takeFreezeInPass(host, stages);
  }

  void freezeAtAnswer(StepModelHost host) {
    faults.freezeAtAnswer(host);
  }

  /** Checks that the end of a run that a worker may forget is stored if it was {@code done}. */
  void checkRecorded(StepLedger.Run run) {
    if (run.cause != org.persimmonloom.core.scheduling.EndCause.DONE) {
      return;
    }
    WorkflowEntry entry = store.table.find(run.task.workflow()).orElse(null);
    if (entry == null || entry.state().isFinal()) {
      return;
    }
    int position = run.task.index() + entry.spec().orElseThrow().firstTask(run.task.step());
    boolean isStored =
        entry
            .progress(run.task.occurrence())
            .filter(
                progress ->
                    progress.state().isFinal()
                        || java.util.BitSet.valueOf(progress.done()).get(position))
            .isPresent();
    if (!isStored) {
      ledger.lost(run.toString());
    }
  }
}
