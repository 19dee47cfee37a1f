package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.job.JobPlaced;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.maintenance.MaintenanceRequested;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.release.ReleaseProposed;

/**
 * A simulation of entry hosts that propose changes of every kind through the log of a {@link
 * ClaimSimulation}. Each proposes from the state of its own replica, which may be behind the log.
 */
final class FleetSimulation {
  static final List<String> POOLS = List.of("a", "b", "w");
  private static final int EXECUTORS = 8;
  private static final int WORKERS = 2;
  private static final String FIRST_NOTE =
      """
      [release]
      name = first
      [add pool a]
      kind = executors
      [add pool b]
      kind = executors
      [add pool w]
      kind = workers
      [add service nightly]
      pool = a
      workers = w
      [add team alpha]
      quota_cores = 100
      quota_memory_mb = 200000
      [add budget pool-a]
      pool = a
      domain = pool
      max_unavailable = 2
      [add budget racks]
      pool = *
      domain = rack
      max_unavailable = 1
      """;

  final ClaimSimulation claims = new ClaimSimulation();
  final Map<Class<?>, Integer> accepted = new HashMap<>();
  private final FleetOracle oracle = new FleetOracle();
  private final FleetState reference = new FleetState();
  private final List<byte[]> snapshots = new ArrayList<>();
  private final Map<Long, Long> revisions = new HashMap<>();
  private final List<String> jobs = new ArrayList<>();
  private final Map<String, Long> boots = new HashMap<>();
  private int nextName;

  FleetSimulation() {
    snapshots.add(ProposalTypes.CODEC.encode(reference.snapshot()));
    propose(0, new ReleaseProposed("set-up", FIRST_NOTE, 0));
    for (int number = 0; number < EXECUTORS; number++) {
      propose(0, new HostAdmitted(facts(number)));
    }
    for (int number = 0; number < WORKERS; number++) {
      propose(0, new HostAdmitted(facts(EXECUTORS + number)));
    }
    synchronise();
    rebootWorker(0);
    rebootWorker(1);
    synchronise();
  }

  private static HostFacts facts(int number) {
    boolean isWorker = number >= EXECUTORS;
    return new HostFacts(
        "h" + number,
        isWorker ? HostKind.WORKER : HostKind.EXECUTOR,
        "10.0.0.1:1",
        "r" + number % 4,
        "dc1",
        "r",
        8,
        10_000,
        0,
        isWorker ? "w" : number % 8 < 5 ? "a" : "b");
  }

  FleetState view(int number) {
    return claims.host(number).state;
  }

  void propose(int number, Proposal proposal) {
    claims.host(number).queue.add(proposal);
  }

  /** Sends the queued proposals, delivers all appends and folds them at every entry host. */
  void synchronise() {
    claims.hosts.forEach(ClaimSimulation.EntryHostModel::send);
    while (!claims.network.isEmpty()) {
      claims.deliver(0, false);
    }
    claims.hosts.forEach(ClaimSimulation.EntryHostModel::fold);
  }

  /**
   * Proposes a release at one or two entry hosts. If their replicas are at the same revision, only
   * one of the proposals can be accepted.
   */
  void proposeRelease(int number) {
    String budget = number % 2 == 0 ? FleetOracle.POOL_BUDGET : FleetOracle.RACK_BUDGET;
    int limit = 1 + number / 10 % 3;
    String note =
        "[release]\nname = note-%d\n[change budget %s]\nmax_unavailable = %d\n"
            .formatted(nextName++, budget, limit);
    for (int host = number; host <= number + number / 50; host++) {
      long revision = view(host).releases().current().number();
      propose(host, new ReleaseProposed("lower " + budget + " " + limit, note, revision));
    }
  }

  void admitHost(int number) {
    propose(number, new HostAdmitted(facts(number % (EXECUTORS + WORKERS))));
  }

  void onHost(int number, Function<Host, Proposal> change) {
    String name = "h" + number / 3 % (EXECUTORS + WORKERS);
    view(number).hosts().find(name).map(change).ifPresent(proposal -> propose(number, proposal));
  }

  void requestWave(int number) {
    long start = claims.nowMillis;
    long end = start + 3 * 3_600_000L;
    String pool = POOLS.get(number % 3);
    propose(
        number,
        new MaintenanceRequested(
            "wave-" + nextName++, List.of(pool), List.of(), start, end, 3, 5_000, "anna"));
  }

  Optional<String> openWave(int number) {
    return view(number).waves().openWaves().stream().map(wave -> wave.name()).findFirst();
  }

  /** Proposes, at each entry host, to confirm the drains in its replica. */
  void confirmDrains(int unused) {
    for (ClaimSimulation.EntryHostModel entryHost : claims.hosts) {
      for (Host host : entryHost.state.hosts().all()) {
        if (host.state() == HostState.DRAINING && host.drain().cause() != Drain.Cause.LEAVING) {
          entryHost.queue.add(new DrainConfirmed(host.name(), host.drain().offset()));
        }
      }
    }
  }

  void proposeDueSteps(int number) {
    view(number).maintenanceSteps().dueSteps(claims.nowMillis).stream()
        .limit(4)
        .forEach(step -> propose(number, step.proposal()));
  }

  void submitJob(int number) {
    String job = claims.nowMillis + "-job%05d".formatted(nextName++);
    JobSize size = new JobSize(1 + number % 6, 1_000, 0);
    jobs.add(job);
    JobSpec spec =
        new JobSpec(job, "alpha", "report", "nightly", size, 60_000, false, number % 3 > 0);
    propose(number, new JobSubmitted(spec));
  }

  void onJob(int number, Function<Job, Proposal> change) {
    if (!jobs.isEmpty()) {
      String job = jobs.get(jobs.size() - 1 - number / 3 % Math.min(4, jobs.size()));
      view(number).jobs().find(job).map(change).ifPresent(proposal -> propose(number, proposal));
    }
  }

  Proposal placement(int number, Job job) {
    String worker = "h" + (EXECUTORS + number % WORKERS);
    int attempt = job.history().attempts() + 1;
    return new JobPlaced(job.name(), attempt, worker, job.spec().size(), view(number).nextOffset());
  }

  void rebootWorker(int number) {
    String worker = "h" + (EXECUTORS + number % WORKERS);
    long boot = boots.merge(worker, 1L, Long::sum);
    propose(number, new WorkerRenewed(worker, boot, view(number).nextOffset(), List.of()));
  }

  void leaveAsPlanned(int number) {
    propose(number, new EntryHostLeft());
    claims.host(number).send();
    claims.restart(number);
  }

  /** Restarts an entry host from the latest snapshot instead of the start of the log. */
  void restartFromSnapshot(int number) {
    claims.restart(number);
    byte[] bytes = snapshots.get(snapshots.size() - 1);
    FleetSnapshot snapshot = ProposalTypes.CODEC.decode(bytes, FleetSnapshot.class).get();
    assertThat(view(number).restore(snapshot)).isEmpty();
  }

  void advanceTime(int number) {
    claims.nowMillis += number < 5 ? 1_000_000 : number * 400L;
  }

  void check() {
    while (reference.nextOffset() < claims.log.size()) {
      byte[] bytes = claims.log.get((int) reference.nextOffset());
      Batch batch = ProposalTypes.CODEC.decode(bytes, Batch.class).get();
      for (ProposalResult result : reference.apply(reference.nextOffset(), batch).get()) {
        oracle.apply(result);
        if (result.isAccepted()) {
          accepted.merge(result.proposal().getClass(), 1, Integer::sum);
        }
      }
      oracle.compare(reference);
      snapshots.add(ProposalTypes.CODEC.encode(reference.snapshot()));
    }
    for (ClaimSimulation.EntryHostModel host : claims.hosts) {
      assertThat(ProposalTypes.CODEC.encode(host.state.snapshot()))
          .as("replica of %s", host.name)
          .isEqualTo(snapshots.get((int) host.state.nextOffset()));
      long revision = host.state.releases().current().number();
      Long previous = revisions.put(host.incarnation, revision);
      assertThat(previous == null || previous <= revision)
          .as("release revision did not decrease")
          .isTrue();
    }
    claims.check();
  }
}
