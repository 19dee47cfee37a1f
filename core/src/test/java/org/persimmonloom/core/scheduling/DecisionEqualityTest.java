package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * Compares the orders of {@link FleetScheduler} with those of {@link ReferenceScheduler}. Guards
 * against optimizations of a scheduling pass that change its orders.
 */
class DecisionEqualityTest {
  private static final int PASSES = 800;
  private static final List<QueuePolicy> POLICIES =
      List.of(
          new QueuePolicy("laundry", "laundry", 0, 2, 1.5, 600, 0),
          new QueuePolicy("permits", "laundry", 1, 3, 1.5, 600, 4_000),
          new QueuePolicy("rounds", "rounds", 1, 3, 1.5, 600, 0),
          new QueuePolicy("spare", "spare", 0, 3, 1.5, 600, 0));
  private static final Set<String> SERVICES = Set.of("laundry", "rounds");

  private final WorkflowTable table = new WorkflowTable();
  private final WorkflowRecords records = new WorkflowRecords();
  private final Map<String, WorkerFacts> workers = new TreeMap<>();
  private final Map<String, Map<TaskId, Integer>> running = new HashMap<>();
  private final Map<String, List<EndedTask>> ended = new HashMap<>();
  private final List<String> submitted = new ArrayList<>();
  private final Map<String, Integer> orderCounts = new TreeMap<>();
  private Random random;
  private FleetScheduler scheduler;
  private ReferenceScheduler reference;
  private long now = 100_000;
  private long offset;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void ordersEqualThoseOfTheReferenceScheduler(long seed) {
    random = new Random(seed);
    for (int i = 0; i < 5; i++) {
      submit();
    }
    takeOver();
    for (int pass = 0; pass < PASSES; pass++) {
      for (int change = random.nextInt(4); change > 0; change--) {
        change();
      }
      pass(seed, pass);
    }
    assertThat(orderCounts.keySet()).contains("Start", "Stop", "Pace", "Permit");
    assertThat(orderCounts.get("Start")).isGreaterThan(PASSES / 2);
  }

  private void takeOver() {
    SchedulingSettings settings = new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000);
    scheduler = new FleetScheduler(settings, offset, now, now);
    reference = new ReferenceScheduler(settings, offset, now, SERVICES);
    configure();
    for (int i = 0; i < 14; i++) {
      addWorker("w" + i);
    }
    listWorkers();
    table
        .all()
        .forEach(
            entry -> {
              scheduler.workflowChanged(entry.copy(), now, now, true);
              reference.occurrenceTable.workflowChanged(entry.copy(), now, now, true);
            });
  }

  /** Assigns random priorities to the queues; each may also be withdrawn. */
  private void configure() {
    Map<String, QueuePolicy> queues = new HashMap<>();
    for (QueuePolicy policy : POLICIES) {
      if (random.nextInt(8) > 0) {
        queues.put(
            policy.queue(),
            new QueuePolicy(
                policy.queue(),
                policy.service(),
                random.nextInt(2),
                policy.attempts(),
                policy.stretch(),
                policy.targetMillis(),
                policy.permitValidMillis()));
      }
    }
    scheduler.configure(queues, SERVICES, Set.of("spare"), Set.of());
    reference.occurrenceTable.configure(queues, Set.of());
  }

  private void addWorker(String id) {
    Resources capacity = new Resources(4_000 + 2_000 * random.nextInt(3), 8_000, 0);
    String rack = "rack-" + random.nextInt(3);
    String service = random.nextInt(3) > 0 ? "laundry" : "rounds";
    boolean isDraining = random.nextInt(12) == 0;
    WorkerFacts facts =
        new WorkerFacts(id, "a:80", service, "a", isDraining, capacity, Set.of(rack), now);
    workers.put(id, facts);
    running.put(id, new HashMap<>());
    ended.put(id, new ArrayList<>());
  }

  private void listWorkers() {
    scheduler.workersListed(workers.values(), now);
    scheduler.leaseHoldersRecorded(scheduler.takeLeaseHolders());
    reference.workers.workersListed(workers.values(), now);
    reference.workers.leaseHoldersRecorded(reference.workers.takeLeaseHolders());
  }

  private void change() {
    int kind = random.nextInt(100);
    if (kind < 12) {
      submit();
    } else if (kind < 16) {
      apply(records.cancellation(submitted.get(random.nextInt(submitted.size()))));
    } else if (kind < 90) {
      report(anyWorker());
    } else if (kind < 94) {
      fail(anyWorker(), CallResult.UNKNOWN);
    } else if (kind < 96) {
      WorkerFacts worker = anyWorker();
      fail(worker, CallResult.GONE);
      addWorker(worker.id());
      listWorkers();
    } else if (kind < 97) {
      configure();
    } else if (kind < 98) {
      addWorker(anyWorker().id());
      listWorkers();
    } else {
      now += random.nextInt(10) == 0 ? 8_000 : 300;
    }
  }

  private WorkerFacts anyWorker() {
    return List.copyOf(workers.values()).get(random.nextInt(workers.size()));
  }

  private void fail(WorkerFacts worker, CallResult result) {
    scheduler.holdFailed(worker, result, now);
    reference.workers.holdFailed(worker, result, now);
  }

  private void submit() {
    List<StepSpec> steps = new ArrayList<>();
    for (int i = random.nextInt(3); i >= 0; i--) {
      steps.add(step(steps.isEmpty() || random.nextInt(3) == 0 ? List.of() : List.of(0)));
    }
    String id = "flow" + submitted.size();
    submitted.add(id);
    QueuePolicy policy = POLICIES.get(random.nextInt(POLICIES.size()));
    int repeats = random.nextInt(6) == 0 ? 3 : 0;
    apply(
        records.submission(new WorkflowSpec(id, policy, "payload", steps, repeats, now, 400, now)));
  }

  private StepSpec step(List<Integer> after) {
    boolean isLongRunning = random.nextInt(6) == 0;
    boolean isFiller = random.nextInt(8) == 0;
    boolean isGang = !isLongRunning && random.nextInt(6) == 0;
    return new StepSpec(
        1 + random.nextInt(5),
        new Resources(500 * (1 + random.nextInt(6)), 100 + 1_000 * random.nextInt(3), 0),
        200 + 100 * random.nextInt(5),
        after,
        false,
        isGang,
        isGang && random.nextBoolean(),
        random.nextInt(6) == 0 ? "rack-" + random.nextInt(3) : "",
        random.nextInt(6) == 0 ? "rack-" + random.nextInt(3) : "",
        random.nextInt(4) == 0 ? 1 + random.nextInt(2) : 0,
        !isLongRunning && random.nextInt(6) == 0,
        isLongRunning,
        "image",
        isLongRunning ? 100 : 0,
        isFiller,
        1);
  }

  private void apply(TableRecord record) {
    table
        .apply(record, offset++)
        .ifPresent(
            entry -> {
              if (scheduler != null) {
                scheduler.workflowChanged(entry.copy(), now, now, false);
                reference.occurrenceTable.workflowChanged(entry.copy(), now, now, false);
              }
            });
  }

  private void report(WorkerFacts worker) {
    Map<TaskId, Integer> present = running.get(worker.id());
    List<EndedTask> ends = ended.get(worker.id());
    for (Map.Entry<TaskId, Integer> run : List.copyOf(present.entrySet())) {
      if (random.nextInt(4) == 0) {
        EndCause cause = random.nextInt(6) == 0 ? EndCause.FAILED : EndCause.DONE;
        ends.add(new EndedTask(ends.size() + 1, run.getKey(), run.getValue(), cause, ""));
        present.remove(run.getKey());
      }
    }
    if (random.nextInt(30) == 0 && !submitted.isEmpty()) {
      // A run that an earlier owner started, possibly of a workflow that has ended.
      String id = submitted.get(random.nextInt(submitted.size()));
      present.putIfAbsent(new TaskId(id, 0, 0, random.nextInt(3)), 1 + random.nextInt(3));
    }
    int load = random.nextInt(200);
    List<RunningTask> runningTasks = new ArrayList<>();
    present.forEach((task, run) -> runningTasks.add(new RunningTask(task, run, "", 100, load)));
    WorkerReport report = new WorkerReport(now, worker.bornMillis(), runningTasks, ends);
    scheduler.workerReported(worker, now - 1, report, now);
    reference.workers.workerReported(worker, now - 1, report, now);
  }

  private void pass(long seed, int pass) {
    now += 5 + random.nextInt(30);
    List<Order> orders = scheduler.decide(now, now);
    assertThat(orders).as("seed %d, pass %d", seed, pass).isEqualTo(reference.decide(now, now));
    Optional<PermitRequest> request = scheduler.nextPermitRequest(now);
    assertThat(request)
        .as("permit request, seed %d, pass %d", seed, pass)
        .isEqualTo(reference.permits.nextRequest(reference.startable, reference.workers, now));
    request.ifPresent(this::answerPermitRequest);
    checkCounts(seed, pass);
    orders.forEach(this::execute);
    if (random.nextInt(3) == 0) {
      ProgressBatch batch = scheduler.takeProgress(now);
      ProgressBatch expected =
          new ProgressBatch(
              reference.occurrenceTable.takeRecords(now), reference.workers.takeEndMarks());
      assertThat(batch.ends()).isEqualTo(expected.ends());
      assertThat(asText(batch.records())).isEqualTo(asText(expected.records()));
      batch.records().forEach(this::apply);
      scheduler.progressRecorded(batch);
      reference.workers.endsRecorded(batch.ends());
    }
  }

  /** Checks that incrementally maintained counts equal full recounts. */
  private void checkCounts(long seed, int pass) {
    for (List<OccurrenceState> occurrences : reference.occurrenceTable.byWorkflow()) {
      for (OccurrenceState occurrence : occurrences) {
        for (int step = 0; step < occurrence.remaining.length; step++) {
          assertThat((long) occurrence.waitingTasks(step))
              .as("waiting tasks of %s, seed %d, pass %d", occurrence.spec.id(), seed, pass)
              .isEqualTo(occurrence.tasksOf(step).stream().filter(TaskState::isRunnable).count());
        }
      }
    }
    for (WorkerState worker : reference.workers.all()) {
      Resources used = Resources.NONE;
      for (TaskRun run : worker.runs.values()) {
        used = used.plus(run.reserved);
      }
      assertThat(worker.free)
          .as("free capacity of %s, seed %d, pass %d", worker.facts.id(), seed, pass)
          .isEqualTo(worker.facts.capacity().minus(used));
      assertThat((long) worker.fillerCount)
          .isEqualTo(worker.runs.values().stream().filter(run -> run.isFiller).count());
    }
  }

  private static List<String> asText(List<TableRecord> batch) {
    return batch.stream().map(record -> record.key() + Arrays.toString(record.value())).toList();
  }

  private void answerPermitRequest(PermitRequest request) {
    orderCounts.merge("Permit", 1, Integer::sum);
    Map<String, String> granted = new HashMap<>();
    for (WorkerFacts worker : request.workers()) {
      if (random.nextInt(4) > 0) {
        granted.put(worker.id(), "permit");
      }
    }
    Optional<Map<String, String>> answer =
        random.nextInt(8) == 0 ? Optional.empty() : Optional.of(granted);
    scheduler.permitsAnswered(request, answer, now, now);
    reference.permits.permitsAnswered(request, answer, now, now);
  }

  private void execute(Order order) {
    orderCounts.merge(order.getClass().getSimpleName(), 1, Integer::sum);
    CallResult result = random.nextInt(12) == 0 ? anyResult() : CallResult.ACCEPTED;
    Map<TaskId, Integer> present = running.get(order.worker().id());
    boolean hasEffect = result == CallResult.ACCEPTED || result == CallResult.UNKNOWN;
    if (hasEffect && order instanceof Order.Start) {
      present.put(order.task(), order.run());
    } else if (hasEffect && order instanceof Order.Stop) {
      present.remove(order.task());
    }
    if (result == CallResult.PERMISSION_EXPIRED) {
      TaskId task = order.task();
      StepId step = new StepId(task.workflow(), task.occurrence(), task.step());
      reference.permits.permitRejected(step, order.worker().id());
    }
    scheduler.orderAnswered(order, result, now);
    reference.workers.orderAnswered(order, result, now);
  }

  private CallResult anyResult() {
    CallResult[] results = CallResult.values();
    return results[random.nextInt(results.length)];
  }
}
