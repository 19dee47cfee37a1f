package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowTable;

/** A scheduler with simulated workers that execute orders at once, on a clock set by the tests. */
final class SchedulerFixture {
  /** A queue whose steps need a permit that is valid for 4 s. */
  static final QueuePolicy PERMIT_POLICY =
      new QueuePolicy("permits", "laundry", 0, 3, 1.5, 600, 4_000);

  static final QueuePolicy POLICY = new QueuePolicy("orders", "laundry", 0, 3, 1.5, 600, 0);
  static final long BORN_MILLIS = 1_000;

  final SchedulingSettings settings = new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000);
  final WorkflowTable table = new WorkflowTable();
  final WorkflowRecords records = new WorkflowRecords();
  private final LeaseHolderRecords leaseHolderRecords = new LeaseHolderRecords();

  /** Workers that owners have recorded because they may hold leases. */
  private final Map<String, WorkerFacts> leaseHolders = new HashMap<>();

  final Map<String, WorkerFacts> workers = new HashMap<>();
  final Map<String, Map<TaskId, Integer>> running = new HashMap<>();
  final Map<String, List<EndedTask>> ended = new HashMap<>();
  FleetScheduler scheduler;
  long now = 100_000;
  long offset;

  SchedulerFixture() {
    takeOver();
  }

  void takeOver() {
    takeOverUnlisted();
    scheduler.workersListed(workers.values(), now);
    recordLeaseHolders();
  }

  /** Starts the term of a new owner after a planned stop of the previous owner. */
  void handOver() {
    takeOverUnlisted(now);
    scheduler.workersListed(workers.values(), now);
    recordLeaseHolders();
  }

  /** Starts the term of a new owner that has not read the list of workers yet. */
  void takeOverUnlisted() {
    takeOverUnlisted(now + settings.dutyLeaseMillis());
  }

  private void takeOverUnlisted(long machinesFromMillis) {
    scheduler = new FleetScheduler(settings, offset, now, machinesFromMillis);
    scheduler.configure(
        Map.of(POLICY.queue(), POLICY, PERMIT_POLICY.queue(), PERMIT_POLICY),
        Set.of(POLICY.service()),
        Set.of("spare"),
        Set.of());
    scheduler.leaseHoldersLoaded(leaseHolders.values());
    table.all().forEach(entry -> scheduler.workflowChanged(entry.copy(), now, now, true));
  }

  /** Returns the facts of another process of a worker, or of one at another address. */
  static WorkerFacts process(WorkerFacts facts, String address, long bornMillis) {
    return new WorkerFacts(
        facts.id(),
        address,
        facts.service(),
        facts.dataCentre(),
        facts.draining(),
        facts.capacity(),
        facts.labels(),
        bornMillis);
  }

  WorkerFacts addWorker(String id) {
    return addWorker(id, "rack-1");
  }

  WorkerFacts addWorker(String id, String rack) {
    WorkerFacts facts = addUnrecordedWorker(id, rack);
    recordLeaseHolders();
    return facts;
  }

  /** Adds a worker that the owner has not recorded yet, so that it may not get starts. */
  WorkerFacts addUnrecordedWorker(String id) {
    return addUnrecordedWorker(id, "rack-1");
  }

  private WorkerFacts addUnrecordedWorker(String id, String rack) {
    WorkerFacts facts =
        new WorkerFacts(
            id,
            "10.0.0.1:80",
            POLICY.service(),
            "a",
            false,
            new Resources(4_000, 8_000, 0),
            Set.of("kind-a", rack),
            BORN_MILLIS);
    workers.put(id, facts);
    running.put(id, new HashMap<>());
    ended.put(id, new ArrayList<>());
    scheduler.workersListed(workers.values(), now);
    return facts;
  }

  /**
   * Returns hosts {@code m0}, ... with workers {@code w0}, ..., and switched-off {@code s0}, ...
   */
  Map<String, MachineFacts> addHosts(int runningHosts, int spareHosts) {
    Map<String, MachineFacts> machines = new TreeMap<>();
    for (int i = 0; i < runningHosts; i++) {
      addWorker("w" + i);
      machines.put("m" + i, upHost("m" + i, POLICY.service(), "w" + i));
    }
    for (int i = 0; i < spareHosts; i++) {
      machines.put("s" + i, upHost("s" + i, "spare", ""));
    }
    return machines;
  }

  private static MachineFacts upHost(String id, String pool, String worker) {
    Resources capacity = new Resources(4_000, 8_000, 0);
    return new MachineFacts(id, pool, MachineFacts.State.UP, Set.of("kind-a"), capacity, worker);
  }

  static StepSpec step(int tasks, int cpuMillis, List<Integer> after) {
    return StepBuilder.step(tasks).cpuMillis(cpuMillis).after(after).build();
  }

  static StepSpec labelled(int tasks, String label) {
    return StepBuilder.step(tasks).label(label).build();
  }

  static StepSpec longRunning(int tasks, int mayMiss) {
    return StepBuilder.step(tasks).longRunningService(100, mayMiss).build();
  }

  void submit(String id, StepSpec... steps) {
    submit(id, POLICY, steps);
  }

  void submit(String id, QueuePolicy policy, StepSpec... steps) {
    apply(
        records.submission(new WorkflowSpec(id, policy, "payload", List.of(steps), 0, 0, 0, now)));
  }

  void apply(TableRecord record) {
    table
        .apply(record, offset++)
        .ifPresent(entry -> scheduler.workflowChanged(entry.copy(), now, now, false));
  }

  /** Delivers a status report of every worker that is not in {@code silent}. */
  void report(String... silent) {
    now += 10;
    for (WorkerFacts worker : workers.values()) {
      if (!List.of(silent).contains(worker.id())) {
        List<RunningTask> present = new ArrayList<>();
        running
            .get(worker.id())
            .forEach((task, run) -> present.add(new RunningTask(task, run, "", 100, 0)));
        scheduler.workerReported(
            worker,
            now - 1,
            new WorkerReport(now, BORN_MILLIS, present, ended.get(worker.id())),
            now);
      }
    }
  }

  List<Order> decide() {
    now += 10;
    return scheduler.decide(now, now);
  }

  /** Runs a scheduling pass, executes all orders and confirms them. */
  List<Order> decideAndExecute() {
    List<Order> orders = decide();
    for (Order order : orders) {
      Map<TaskId, Integer> present = running.get(order.worker().id());
      if (order instanceof Order.Start) {
        present.put(order.task(), order.run());
      } else if (order instanceof Order.Stop) {
        if (present.remove(order.task()) != null) {
          endRun(order.worker().id(), order.task(), order.run(), EndCause.STOPPED);
        }
      }
      scheduler.orderAnswered(order, CallResult.ACCEPTED, now);
    }
    return orders;
  }

  /** Ends a run; the worker's next status report contains the end. */
  void endRun(String worker, TaskId task, int run, EndCause cause) {
    running.get(worker).remove(task);
    List<EndedTask> ends = ended.get(worker);
    ends.add(new EndedTask(ends.size() + 1, task, run, cause, ""));
  }

  /** Ends all runs of one workflow. */
  void endAllRuns(EndCause cause, String workflow) {
    running.forEach(
        (worker, present) ->
            Map.copyOf(present)
                .forEach(
                    (task, run) -> {
                      if (task.workflow().equals(workflow)) {
                        endRun(worker, task, run, cause);
                      }
                    }));
  }

  void endAllRuns(EndCause cause) {
    running.forEach(
        (worker, present) ->
            Map.copyOf(present).forEach((task, run) -> endRun(worker, task, run, cause)));
  }

  void recordLeaseHolders() {
    LeaseHolderBatch batch = scheduler.takeLeaseHolders();
    for (TableRecord record : batch.records()) {
      String worker = leaseHolderRecords.worker(record).orElseThrow();
      if (record.value() == null) {
        leaseHolders.remove(worker);
      } else {
        leaseHolders.put(worker, leaseHolderRecords.read(record.value()).get());
      }
    }
    scheduler.leaseHoldersRecorded(batch);
  }

  ProgressBatch recordProgress() {
    ProgressBatch batch = scheduler.takeProgress(now);
    batch.records().forEach(this::apply);
    scheduler.progressRecorded(batch);
    return batch;
  }
}
