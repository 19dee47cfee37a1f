package org.persimmonloom.core.job;

import java.util.List;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.ResultCode;

/** A fleet state with workers and two teams, to which tests propose one record at a time. */
final class JobFixture {
  static final long START_MILLIS = 1_000_000_000L;
  static final JobSize WORKER_SIZE = new JobSize(16, 32_768, 2);

  private static final String RELEASE_NOTE =
      """
      [release]
      name = jobs
      [add pool executors]
      kind = executors
      [add pool workers]
      kind = workers
      [add service nightly]
      pool = executors
      workers = workers
      [add team alpha]
      quota_cores = 100
      quota_memory_mb = 200000
      quota_accelerators = 4
      [add team beta]
      quota_cores = 8
      quota_memory_mb = 200000
      """;

  final FleetState state = new FleetState();
  long nowMillis = START_MILLIS;
  private long sequence;
  private int jobCount;

  JobFixture(int workers) {
    propose(new EntryHostSeen("127.0.0.1:1", "127.0.0.1:2", "dc1"));
    accept(new ReleaseProposed("operator", RELEASE_NOTE, 0));
    for (int i = 1; i <= workers; i++) {
      accept(new HostAdmitted(workerFacts("w" + i, "r" + (i - 1) / 4)));
      accept(new WorkerRenewed("w" + i, 1, state.nextOffset(), List.of()));
    }
  }

  static HostFacts workerFacts(String name, String rack) {
    return new HostFacts(
        name,
        HostKind.WORKER,
        "127.0.0.1:1",
        rack,
        "dc1",
        "local",
        (int) WORKER_SIZE.cores(),
        WORKER_SIZE.memoryMb(),
        (int) WORKER_SIZE.accelerators(),
        "workers");
  }

  ProposalResult propose(Proposal proposal) {
    sequence++;
    Batch batch = new Batch("entry-1", 1, sequence, 1, nowMillis, List.of(proposal));
    List<ProposalResult> verdicts = state.apply(state.nextOffset(), batch).get();
    return verdicts.isEmpty() ? null : verdicts.get(0);
  }

  ResultCode resultCode(Proposal proposal) {
    return propose(proposal).code();
  }

  void accept(Proposal proposal) {
    ProposalResult verdict = propose(proposal);
    if (!verdict.isAccepted()) {
      throw new AssertionError(verdict);
    }
  }

  JobSpec spec(String team, JobSize size, boolean isUrgent, boolean isRepeatable) {
    jobCount++;
    String name = START_MILLIS + "-job%05d".formatted(jobCount);
    return new JobSpec(name, team, "sizing", "nightly", size, 60_000, isUrgent, isRepeatable);
  }

  /** Submits a repeatable job of team alpha and returns its identifier. */
  String submit(JobSize size) {
    return submit(spec("alpha", size, false, true));
  }

  String submit(JobSpec spec) {
    accept(new JobSubmitted(spec));
    return spec.job();
  }

  JobPlaced placement(String job, String worker) {
    Job existing = job(job);
    JobSize size = existing.spec().size();
    JobSize reserved = size.withMemoryMb(Math.max(size.memoryMb(), existing.memoryFloorMb()));
    return new JobPlaced(
        job, existing.history().attempts() + 1, worker, reserved, state.nextOffset());
  }

  void placeAndStart(String job, String worker) {
    accept(placement(job, worker));
    accept(new JobStarted(job, job(job).live().number()));
  }

  void fail(String job, String worker, FailureCause cause) {
    placeAndStart(job, worker);
    accept(new JobFailed(job, job(job).live().number(), cause, "exit 1"));
  }

  void finish(String job, String worker) {
    placeAndStart(job, worker);
    accept(new JobFinished(job, job(job).live().number(), 50_000, 1, 900));
  }

  Job job(String name) {
    return state.jobs().find(name).orElseThrow();
  }
}
