package org.persimmonloom.tool.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobCancelled;
import org.persimmonloom.core.job.JobLeaseExpired;
import org.persimmonloom.core.job.JobPlacer;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobStopped;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.job.LeaseRules;
import org.persimmonloom.core.job.MaintenanceForecast;
import org.persimmonloom.core.job.PlanningState;
import org.persimmonloom.core.job.VisitPlan;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.core.job.WorkerVisit;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.runtime.worker.RenewRequest;
import org.persimmonloom.runtime.worker.StartRequest;
import org.persimmonloom.runtime.worker.TaskRequest;

/**
 * Runs the fold, the planner and the visits against stand-ins of workers on one virtual clock.
 * Visits use old views of the fold, their calls arrive up to 40 minutes late as those of paused
 * hosts do, workers reboot or are visited only by a host that is cut off from the log for up to 40
 * minutes, and fold time runs up to 59 s ahead.
 */
class JobSafetyTest {
  private static final long START_MILLIS = 1_000_000_000L;
  private static final int WORKERS = 4;
  private static final int JOBS = 60;

  private static final int FAULTY_STEPS = 2_500;

  /**
   * 2.1 hours at 2.5 s a step. After the faults a job may wait 40 minutes for its worker and 18 for
   * its lease, and then run for 25.
   */
  private static final int QUIET_STEPS = 3_000;

  private final TaskLedger ledger = new TaskLedger();
  private final FleetState state = new FleetState();
  private final List<WorkerTasks> workers = new ArrayList<>();
  private final Map<Integer, WorkerVisit.FoldView> oldViews = new HashMap<>();
  private final Map<Integer, Long> unreachableUntil = new HashMap<>();
  private final List<Call> calls = new ArrayList<>();
  private final List<JobSpec> jobs = new ArrayList<>();
  private Random random;
  private boolean isFaulty = true;
  private long nowMillis = START_MILLIS;
  private long sequence;

  private record Call(long atMillis, Runnable action) {}

  /** Guards against two runs at once, repeated non-repeatable jobs, and lost jobs or room. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void jobsNeitherOverlapNorGetLost(long seed) {
    random = new Random(seed);
    setUp();
    for (int step = 0; step < FAULTY_STEPS + QUIET_STEPS; step++) {
      isFaulty = step < FAULTY_STEPS;
      step();
    }
    assertThat(ledger.overlapping()).isEmpty();
    for (JobSpec spec : jobs) {
      var job = state.jobs().find(spec.job());
      assertThat(job.isEmpty() || job.get().state().isEnded()).as("%s", job).isTrue();
      if (!spec.isRepeatable()) {
        assertThat(ledger.starts(spec.job())).isLessThanOrEqualTo(1);
      }
    }
    for (int i = 0; i < WORKERS; i++) {
      assertThat(state.jobs().usedByWorker("w" + i)).isEqualTo(JobSize.NONE);
    }
    assertThat(ledger.running()).isZero();
  }

  private void setUp() {
    append(List.of(new EntryHostSeen("127.0.0.1:1", "127.0.0.1:2", "dc1")));
    String note =
        "[release]\nname = n\n[add pool p]\nkind = executors\n[add pool w]\nkind = workers\n"
            + "[add service s]\npool = p\nworkers = w\n[add team t]\nquota_cores = 100\n";
    append(List.of(new ReleaseProposed("test", note, 0)));
    for (int i = 0; i < WORKERS; i++) {
      HostFacts facts =
          new HostFacts(
              "w" + i, HostKind.WORKER, "127.0.0.1:1", "r1", "dc1", "local", 4, 8_192, 0, "w");
      append(List.of(new HostAdmitted(facts)));
      JobSize size = new JobSize(4, 8_192, 0);
      workers.add(
          new WorkerTasks(
              "w" + i,
              size,
              () -> Instant.ofEpochMilli(nowMillis),
              ledger,
              kind -> TaskBehaviour.succeeding(kind.equals("long") ? 1_500_000 : 120_000),
              0));
    }
  }

  private void append(List<? extends Proposal> proposals) {
    if (!proposals.isEmpty()) {
      sequence++;
      long aheadMillis = isFaulty && sequence > 10 && random.nextInt(10) == 0 ? 59_000 : 0;
      Batch batch = new Batch("e", 1, sequence, 1, nowMillis + aheadMillis, List.copyOf(proposals));
      state.apply(state.nextOffset(), batch).get();
    }
  }

  private void step() {
    nowMillis += 1 + random.nextInt(5_000);
    List<Call> due = calls.stream().filter(call -> call.atMillis() <= nowMillis).toList();
    calls.removeAll(due);
    due.forEach(call -> call.action().run());
    if (isFaulty && jobs.size() < JOBS && random.nextInt(30) == 0) {
      submit();
    }
    if (isFaulty && !jobs.isEmpty() && random.nextInt(100) == 0) {
      append(List.of(new JobCancelled(jobs.get(random.nextInt(jobs.size())).job(), "test")));
    }
    int index = random.nextInt(WORKERS);
    if (isFaulty && random.nextInt(400) == 0) {
      workers.get(index).reboot();
    }
    if (isFaulty && random.nextInt(200) == 0) {
      unreachableUntil.put(index, nowMillis + random.nextInt(40 * 60_000));
    }
    boolean isCutOff = unreachableUntil.getOrDefault(index, 0L) > nowMillis;
    visit(index, isCutOff && oldViews.containsKey(index));
    append(
        JobPlacer.plan(PlanningState.of(state, MaintenanceForecast.NONE), nowMillis).proposals());
    append(
        state.jobs().jobs().stream()
            .filter(job -> job.live() != null)
            .map(job -> new JobLeaseExpired(job.name(), job.live().number(), false))
            .toList());
  }

  private void submit() {
    JobSpec spec =
        new JobSpec(
            nowMillis + "-safety%03d".formatted(jobs.size()),
            "t",
            random.nextInt(4) == 0 ? "long" : "short",
            "s",
            new JobSize(1 + random.nextInt(3), 1_024, 0),
            120_000,
            random.nextInt(10) == 0,
            random.nextInt(3) != 0);
    jobs.add(spec);
    append(List.of(new JobSubmitted(spec)));
  }

  /** Returns what an entry host holds that has not read the log since; only its clock goes on. */
  private WorkerVisit.FoldView oldView(int index) {
    WorkerVisit.FoldView old = oldViews.get(index);
    return new WorkerVisit.FoldView(
        old.worker(),
        old.record(),
        old.live(),
        old.offset(),
        old.observedOffset(),
        old.timeMillis(),
        nowMillis);
  }

  /**
   * Visits a worker; a host that is cut off from the log acts on its old view and appends nothing.
   */
  private void visit(int index, boolean isCutOff) {
    long observedOffset = state.nextOffset();
    WorkerReport report = workers.get(index).report();
    String worker = "w" + index;
    WorkerVisit.FoldView view =
        new WorkerVisit.FoldView(
            worker,
            state.jobs().worker(worker).orElse(null),
            state.jobs().liveAt(worker),
            state.nextOffset(),
            observedOffset,
            state.timeMillis(),
            nowMillis);
    if (!isCutOff && (!oldViews.containsKey(index) || random.nextInt(20) == 0)) {
      oldViews.put(index, view);
    }
    boolean isBehind = isCutOff || (isFaulty && random.nextInt(4) == 0);
    VisitPlan plan = WorkerVisit.decide(isBehind ? oldView(index) : view, report);
    if (!isCutOff && (!isFaulty || random.nextInt(10) > 0)) {
      append(plan.proposals());
    }
    schedule(index, report, plan);
  }

  private void schedule(int index, WorkerReport report, VisitPlan plan) {
    WorkerTasks tasks = workers.get(index);
    send(
        () ->
            tasks.renew(
                new RenewRequest(
                    report.boot(),
                    report.clockMillis(),
                    LeaseRules.WORKER_LEASE_MILLIS,
                    plan.renewals())));
    plan.starts().forEach(job -> send(() -> start(tasks, job, report)));
    plan.stops().forEach(ref -> send(() -> stop(tasks, ref, report)));
  }

  private void send(Runnable action) {
    boolean isPaused = isFaulty && random.nextInt(20) == 0;
    long delayMillis = isPaused ? random.nextInt(40 * 60_000) : random.nextInt(500);
    calls.add(new Call(nowMillis + delayMillis, action));
  }

  private static void start(WorkerTasks tasks, Job job, WorkerReport report) {
    StartRequest request =
        new StartRequest(
            job.live().boot(),
            report.clockMillis(),
            LeaseRules.WORKER_LEASE_MILLIS,
            job.live().placedOffset(),
            "s",
            job.spec().kind(),
            job.live().size(),
            job.checkpoint());
    tasks.start(job.name(), job.live().number(), request);
  }

  private void stop(WorkerTasks tasks, WorkerRenewed.Ref ref, WorkerReport report) {
    var stopped =
        tasks.change(ref.job(), ref.attempt(), "stop", new TaskRequest(report.boot(), 100));
    if (stopped != null && random.nextBoolean()) {
      append(List.of(new JobStopped(ref.job(), ref.attempt())));
    }
  }
}
