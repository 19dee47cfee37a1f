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
 * Entry hosts that propose every kind of change through the log of a {@link ClaimWorld}, each from
 * what its own replica shows, which may be old.
 */
final class FleetWorld {
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

  final ClaimWorld claims = new ClaimWorld();
  final Map<Class<?>, Integer> accepted = new HashMap<>();
  private final FleetOracle oracle = new FleetOracle();
  private final FleetState judge = new FleetState();
  private final List<byte[]> snapshots = new ArrayList<>();
  private final Map<Long, Long> revisions = new HashMap<>();
  private final List<String> jobs = new ArrayList<>();
  private final Map<String, Long> boots = new HashMap<>();
  private int names;

  FleetWorld() {
    snapshots.add(ProposalTypes.CODEC.encode(judge.snapshot()));
    propose(0, new ReleaseProposed("set-up", FIRST_NOTE, 0));
    for (int number = 0; number < EXECUTORS; number++) {
      propose(0, new HostAdmitted(facts(number)));
    }
    for (int number = 0; number < WORKERS; number++) {
      propose(0, new HostAdmitted(facts(EXECUTORS + number)));
    }
    synchronise();
    reboot(0);
    reboot(1);
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

  /** Every host sends, all appends arrive, and every host folds. */
  void synchronise() {
    claims.hosts.forEach(ClaimWorld.HostModel::send);
    while (!claims.network.isEmpty()) {
      claims.deliver(0, false);
    }
    claims.hosts.forEach(ClaimWorld.HostModel::fold);
  }

  /** Operators race whenever the hosts that they use know the same revision. */
  void release(int number) {
    String budget = number % 2 == 0 ? FleetOracle.POOL_BUDGET : FleetOracle.RACK_BUDGET;
    int limit = 1 + number / 10 % 3;
    String note =
        "[release]\nname = note-%d\n[change budget %s]\nmax_unavailable = %d\n"
            .formatted(names++, budget, limit);
    for (int host = number; host <= number + number / 50; host++) {
      long revision = view(host).releases().current().number();
      propose(host, new ReleaseProposed("lower " + budget + " " + limit, note, revision));
    }
  }

  void admit(int number) {
    propose(number, new HostAdmitted(facts(number % (EXECUTORS + WORKERS))));
  }

  void onHost(int number, Function<Host, Proposal> change) {
    String name = "h" + number / 3 % (EXECUTORS + WORKERS);
    view(number).hosts().find(name).map(change).ifPresent(it -> propose(number, it));
  }

  void wave(int number) {
    long start = claims.nowMillis;
    long end = start + 3 * 3_600_000L;
    String pool = POOLS.get(number % 3);
    propose(
        number,
        new MaintenanceRequested(
            "wave-" + names++, List.of(pool), List.of(), start, end, 3, 5_000, "anna"));
  }

  Optional<String> openWave(int number) {
    return view(number).waves().openWaves().stream().map(it -> it.name()).findFirst();
  }

  /** Each host confirms the drains that its replica shows. */
  void confirm(int unused) {
    for (ClaimWorld.HostModel host : claims.hosts) {
      for (Host it : host.state.hosts().all()) {
        if (it.state() == HostState.DRAINING && it.drain().cause() != Drain.Cause.LEAVING) {
          host.queue.add(new DrainConfirmed(it.name(), it.drain().offset()));
        }
      }
    }
  }

  void steps(int number) {
    view(number).maintenanceSteps().dueSteps(claims.nowMillis).stream()
        .limit(4)
        .forEach(step -> propose(number, step.proposal()));
  }

  void submit(int number) {
    String job = claims.nowMillis + "-job%05d".formatted(names++);
    JobSize size = new JobSize(1 + number % 6, 1_000, 0);
    jobs.add(job);
    JobSpec spec =
        new JobSpec(job, "alpha", "report", "nightly", size, 60_000, false, number % 3 > 0);
    propose(number, new JobSubmitted(spec));
  }

  void onJob(int number, Function<Job, Proposal> change) {
    if (!jobs.isEmpty()) {
      String job = jobs.get(jobs.size() - 1 - number / 3 % Math.min(4, jobs.size()));
      view(number).jobs().find(job).map(change).ifPresent(it -> propose(number, it));
    }
  }

  Proposal placement(int number, Job job) {
    String worker = "h" + (EXECUTORS + number % WORKERS);
    int attempt = job.history().attempts() + 1;
    return new JobPlaced(job.name(), attempt, worker, job.spec().size(), view(number).nextOffset());
  }

  void reboot(int number) {
    String worker = "h" + (EXECUTORS + number % WORKERS);
    long boot = boots.merge(worker, 1L, Long::sum);
    propose(number, new WorkerRenewed(worker, boot, view(number).nextOffset(), List.of()));
  }

  void leave(int number) {
    propose(number, new EntryHostLeft());
    claims.host(number).send();
    claims.replace(number);
  }

  /** A host starts again and takes the newest snapshot instead of the whole log. */
  void restartFromSnapshot(int number) {
    claims.replace(number);
    byte[] bytes = snapshots.get(snapshots.size() - 1);
    FleetSnapshot snapshot = ProposalTypes.CODEC.decode(bytes, FleetSnapshot.class).get();
    assertThat(view(number).restore(snapshot)).isEmpty();
  }

  void pass(int number) {
    claims.nowMillis += number < 5 ? 1_000_000 : number * 400L;
  }

  void check() {
    while (judge.nextOffset() < claims.log.size()) {
      byte[] bytes = claims.log.get((int) judge.nextOffset());
      Batch batch = ProposalTypes.CODEC.decode(bytes, Batch.class).get();
      for (Verdict verdict : judge.apply(judge.nextOffset(), batch).get()) {
        oracle.follow(verdict);
        if (verdict.isAccepted()) {
          accepted.merge(verdict.proposal().getClass(), 1, Integer::sum);
        }
      }
      oracle.compare(judge);
      snapshots.add(ProposalTypes.CODEC.encode(judge.snapshot()));
    }
    for (ClaimWorld.HostModel host : claims.hosts) {
      assertThat(ProposalTypes.CODEC.encode(host.state.snapshot()))
          .as("replica of %s", host.name)
          .isEqualTo(snapshots.get((int) host.state.nextOffset()));
      long revision = host.state.releases().current().number();
      Long former = revisions.put(host.incarnation, revision);
      assertThat(former == null || former <= revision).as("revision went back").isTrue();
    }
    claims.check();
  }
}
