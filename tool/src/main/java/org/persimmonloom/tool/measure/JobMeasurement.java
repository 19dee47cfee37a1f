package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.job.JobCheckpointed;
import org.persimmonloom.core.job.JobFinished;
import org.persimmonloom.core.job.JobPlaced;
import org.persimmonloom.core.job.JobPlacer;
import org.persimmonloom.core.job.JobPlan;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobStarted;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.job.MaintenanceForecast;
import org.persimmonloom.core.job.PlanningState;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;

/**
 * Measures what a record of a job costs and how long placement takes. Runs on the calling thread.
 */
public final class JobMeasurement {
  private static final long START_MILLIS = 1_000_000_000L;
  private static final int TEAMS = 340;
  private static final int TASKS_PER_WORKER = 4;
  private static final int GROUP = 200;
  private static final JobSize SIZE = new JobSize(4, 4_096, 0);

  private final FleetState state = new FleetState();
  private final int workers;
  private long sequence;
  private long bytes;
  private long records;
  private long nanos;
  private int jobs;

  private JobMeasurement(int workers) {
    this.workers = workers;
    StringBuilder note = new StringBuilder("[release]\nname = m\n[add pool p]\nkind = executors\n");
    note.append("[add pool w]\nkind = workers\n[add service s]\npool = p\nworkers = w\n");
    for (int i = 0; i < TEAMS; i++) {
      note.append("[add team t").append(i).append("]\nquota_cores = 100000\n");
      note.append("quota_memory_mb = 100000000\n");
    }
    fold(List.of(new EntryHostSeen("127.0.0.1:1", "127.0.0.1:2", "dc1")));
    fold(List.of(new ReleaseProposed("measure", note.toString(), 0)));
    List<Proposal> admissions = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      admissions.add(new HostAdmitted(facts(i)));
      admissions.add(new WorkerRenewed(worker(i), 1, 0, List.of()));
    }
    foldGroups(admissions);
  }

  /**
   * The cost of records in the life of a job: submitted, placed, started, checkpointed, finished.
   *
   * @param microsPerRecord decoding and folding
   * @param bytesPerRecord in batches of 200
   */
  public record RecordCost(long records, double microsPerRecord, double bytesPerRecord) {}

  /**
   * Duration of planning runs, in milliseconds.
   *
   * @param placed placements of one run
   * @param copyMillis median time to copy the state under the lock of the fold
   * @param planMillis median time to plan on the copy
   */
  public record PlacementCost(
      int workers, int queued, int placed, double copyMillis, double planMillis) {}

  /** Returns the cost of records at this number of workers, after a warm-up of the same size. */
  public static RecordCost records(int workers) {
    new JobMeasurement(workers).liveJobs();
    JobMeasurement measured = new JobMeasurement(workers);
    measured.reset();
    measured.liveJobs();
    return new RecordCost(
        measured.records,
        measured.nanos / 1e3 / measured.records,
        (double) measured.bytes / measured.records);
  }

  /** Returns the duration of a plan for {@code queued} jobs at three quarters of full load. */
  public static PlacementCost placement(int workers, int queued, int runs) {
    JobMeasurement fleet = new JobMeasurement(workers);
    List<Proposal> proposals = new ArrayList<>();
    for (int i = 0; i < workers * (TASKS_PER_WORKER - 1); i++) {
      String job = fleet.submit(proposals);
      proposals.add(fleet.place(job, i % workers));
    }
    for (int i = 0; i < queued; i++) {
      fleet.submit(proposals);
    }
    fleet.foldGroups(proposals);
    double[] copies = new double[runs];
    double[] plans = new double[runs];
    int placed = 0;
    for (int run = 0; run < 2 * runs; run++) {
      long startNanos = System.nanoTime();
      PlanningState planning = PlanningState.of(fleet.state, MaintenanceForecast.NONE);
      long copiedNanos = System.nanoTime();
      JobPlan plan = JobPlacer.plan(planning, START_MILLIS);
      placed = plan.proposals().size();
      copies[run % runs] = (copiedNanos - startNanos) / 1e6;
      plans[run % runs] = (System.nanoTime() - copiedNanos) / 1e6;
    }
    return new PlacementCost(workers, queued, placed, median(copies), median(plans));
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static String worker(int index) {
    return "worker-%05d".formatted(index);
  }

  private static HostFacts facts(int index) {
    return new HostFacts(
        worker(index),
        HostKind.WORKER,
        "127.0.0.1:1",
        "rack-" + index / 40,
        "dc" + index % 8,
        "local",
        TASKS_PER_WORKER * (int) SIZE.cores(),
        TASKS_PER_WORKER * SIZE.memoryMb(),
        0,
        "w");
  }

  private String submit(List<Proposal> proposals) {
    String job = START_MILLIS + "-nightly-%06d".formatted(jobs);
    String team = "t" + jobs % TEAMS;
    proposals.add(
        new JobSubmitted(
            new JobSpec(job, team, "kind-" + jobs % 20, "s", SIZE, 3_600_000, false, true)));
    jobs++;
    return job;
  }

  private JobPlaced place(String job, int worker) {
    return new JobPlaced(job, 1, worker(worker), SIZE, Long.MAX_VALUE);
  }

  private void liveJobs() {
    for (int round = 0; round < TASKS_PER_WORKER; round++) {
      List<Proposal> proposals = new ArrayList<>();
      for (int i = 0; i < workers; i++) {
        String job = submit(proposals);
        proposals.add(place(job, i));
        proposals.add(new JobStarted(job, 1));
        proposals.add(new JobCheckpointed(job, 1, job + "@600000"));
        proposals.add(new JobFinished(job, 1, 1_800_000, 3, 3_000));
      }
      foldGroups(proposals);
    }
  }

  private void reset() {
    bytes = 0;
    records = 0;
    nanos = 0;
  }

  private void foldGroups(List<Proposal> proposals) {
    for (int from = 0; from < proposals.size(); from += GROUP) {
      fold(proposals.subList(from, Math.min(proposals.size(), from + GROUP)));
    }
  }

  private void fold(List<Proposal> proposals) {
    sequence++;
    byte[] encoded =
        ProposalTypes.CODEC.encode(new Batch("measure", 1, sequence, 1, START_MILLIS, proposals));
    long startNanos = System.nanoTime();
    Batch batch = ProposalTypes.CODEC.decode(encoded, Batch.class).get();
    List<ProposalResult> verdicts = state.apply(state.nextOffset(), batch).get();
    nanos += System.nanoTime() - startNanos;
    bytes += encoded.length;
    records += proposals.size();
    for (ProposalResult verdict : verdicts) {
      if (!verdict.isAccepted()) {
        throw new IllegalStateException("measured record refused: " + verdict);
      }
    }
  }
}
