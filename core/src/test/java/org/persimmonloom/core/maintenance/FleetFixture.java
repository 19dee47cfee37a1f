package org.persimmonloom.core.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.ResultCode;

/**
 * A fleet state with two entry hosts and three pools, to which tests apply proposals one by one.
 */
public final class FleetFixture {
  public static final long START_MILLIS = 1_000_000;
  public static final long DAY_MILLIS = 24L * 60 * 60_000;

  public final FleetState state = new FleetState();
  private final TreeMap<String, Long> sequences = new TreeMap<>();
  public long nowMillis = START_MILLIS;

  /**
   * Returns a fleet with the pools {@code a} and {@code b} of executors and {@code w} of workers,
   * and the live entry hosts {@code e1} and {@code e2}.
   */
  public static FleetFixture withPools(String budgets) {
    FleetFixture fleet = new FleetFixture();
    fleet.registerEntryHost("e1", 1);
    fleet.registerEntryHost("e2", 1);
    fleet.applyRelease(
        "[release]\nname = first\n"
            + "[add pool a]\nkind = executors\n"
            + "[add pool b]\nkind = executors\n"
            + "[add pool w]\nkind = workers\n"
            + budgets);
    return fleet;
  }

  public static String budget(String name, String pool, String domain, int max) {
    return "[add budget "
        + name
        + "]\npool = "
        + pool
        + "\ndomain = "
        + domain
        + "\nmax_unavailable = "
        + max
        + "\n";
  }

  public ResultCode registerEntryHost(String entry, long incarnation) {
    sequences.put(entry + incarnation, 0L);
    return proposeAs(entry, incarnation, new EntryHostSeen("p", "o", "dc1")).code();
  }

  public void applyRelease(String note) {
    long revision = state.releases().current().number();
    ProposalResult verdict = proposeAs("e1", 1, new ReleaseProposed("op", note, revision));
    if (!verdict.isAccepted()) {
      throw new IllegalArgumentException(verdict.detail());
    }
  }

  public ProposalResult proposeAs(String entry, long incarnation, Proposal proposal) {
    long sequence = sequences.merge(entry + incarnation, 1L, Long::sum);
    Batch batch = new Batch(entry, incarnation, sequence, 1, nowMillis, List.of(proposal));
    return state.apply(state.nextOffset(), batch).get().get(0);
  }

  public ResultCode resultOf(Proposal proposal) {
    return propose(proposal).code();
  }

  public ProposalResult propose(Proposal proposal) {
    return proposeAs("e1", 1, proposal);
  }

  /** Advances the time and applies records of both entry hosts that carry it. */
  public void advanceTime(long millis) {
    nowMillis += millis;
    proposeAs("e1", 1, new EntryHostSeen("p", "o", "dc1"));
    proposeAs("e2", 1, new EntryHostSeen("p", "o", "dc1"));
    proposeAs("e1", 1, new EntryHostSeen("p", "o", "dc1"));
  }

  public static HostFacts facts(String name, String pool, String rack) {
    HostKind kind = pool.equals("w") ? HostKind.WORKER : HostKind.EXECUTOR;
    return new HostFacts(name, kind, "10.0.0.1:1", rack, "dc1", "r", 8, 1_024, 0, pool);
  }

  public void admit(String pool, String rack, String... names) {
    Arrays.stream(names).forEach(name -> propose(new HostAdmitted(facts(name, pool, rack))));
  }

  public Host host(String name) {
    return state.hosts().find(name).orElseThrow();
  }

  public HostState stateOf(String name) {
    return host(name).state();
  }

  public ResultCode loseHost(String name) {
    return resultOf(new HostLost(name, host(name).stateOffset(), "test"));
  }

  public ProposalResult requestWave(
      String name, int maxAtOnce, long expectedDown, String... pools) {
    return propose(
        new MaintenanceRequested(
            name,
            List.of(pools),
            List.of(),
            nowMillis,
            nowMillis + DAY_MILLIS,
            maxAtOnce,
            expectedDown,
            "op"));
  }

  public ResultCode requestDrain(String host, String wave) {
    return resultOf(new DrainRequested(host, wave));
  }

  /** Confirms the drain of a host as both entry hosts. */
  public void confirmDrain(String host) {
    long drain = host(host).drain().offset();
    proposeAs("e1", 1, new DrainConfirmed(host, drain));
    proposeAs("e2", 1, new DrainConfirmed(host, drain));
  }

  public ResultCode takeDown(String host) {
    return resultOf(new HostDown(host, host(host).drain().offset()));
  }

  /** Proposes every step that is due and returns the accepted proposals. */
  public List<Proposal> proposeDueSteps() {
    List<Proposal> accepted = new ArrayList<>();
    for (MaintenanceSteps.Step step : state.maintenanceSteps().dueSteps(nowMillis)) {
      if (resultOf(step.proposal()) == ResultCode.OK) {
        accepted.add(step.proposal());
      }
    }
    return accepted;
  }
}
