package org.persimmonloom.core.maintenance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.Verdict;
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

/** A fold with entry hosts, pools and hosts, driven proposal by proposal. */
public final class FleetFixture {
  public static final long START = 1_000_000;
  public static final long DAY = 24L * 60 * 60_000;

  public final FleetState state = new FleetState();
  private final TreeMap<String, Long> sequences = new TreeMap<>();
  public long now = START;

  /** Pools {@code a} and {@code b} of executors, {@code w} of workers; two live entry hosts. */
  public static FleetFixture withPools(String budgets) {
    FleetFixture fleet = new FleetFixture();
    fleet.enter("e1", 1);
    fleet.enter("e2", 1);
    fleet.release(
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

  public ResultCode enter(String entry, long incarnation) {
    sequences.put(entry + incarnation, 0L);
    return by(entry, incarnation, new EntryHostSeen("p", "o", "dc1")).code();
  }

  public void release(String note) {
    long revision = state.releases().current().number();
    Verdict verdict = by("e1", 1, new ReleaseProposed("op", note, revision));
    if (!verdict.isAccepted()) {
      throw new IllegalArgumentException(verdict.detail());
    }
  }

  public Verdict by(String entry, long incarnation, Proposal proposal) {
    long sequence = sequences.merge(entry + incarnation, 1L, Long::sum);
    Batch batch = new Batch(entry, incarnation, sequence, 1, now, List.of(proposal));
    return state.apply(state.nextOffset(), batch).get().get(0);
  }

  public ResultCode code(Proposal proposal) {
    return propose(proposal).code();
  }

  public Verdict propose(Proposal proposal) {
    return by("e1", 1, proposal);
  }

  /** Moves time on and lets the fold see it on every entry host's clock. */
  public void pass(long millis) {
    now += millis;
    by("e1", 1, new EntryHostSeen("p", "o", "dc1"));
    by("e2", 1, new EntryHostSeen("p", "o", "dc1"));
    by("e1", 1, new EntryHostSeen("p", "o", "dc1"));
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

  public ResultCode lose(String name) {
    return code(new HostLost(name, host(name).stateOffset(), "test"));
  }

  public Verdict wave(String name, int maxAtOnce, long expectedDown, String... pools) {
    return propose(
        new MaintenanceRequested(
            name, List.of(pools), List.of(), now, now + DAY, maxAtOnce, expectedDown, "op"));
  }

  public ResultCode grant(String host, String wave) {
    return code(new DrainRequested(host, wave));
  }

  /** Confirms the drain of a host on both entry hosts. */
  public void confirm(String host) {
    long drain = host(host).drain().offset();
    by("e1", 1, new DrainConfirmed(host, drain));
    by("e2", 1, new DrainConfirmed(host, drain));
  }

  public ResultCode down(String host) {
    return code(new HostDown(host, host(host).drain().offset()));
  }

  /** Proposes every step that is due and returns what was accepted. */
  public List<Proposal> step() {
    List<Proposal> accepted = new ArrayList<>();
    for (MaintenanceSteps.Step step : state.maintenanceSteps().dueSteps(now)) {
      if (code(step.proposal()) == ResultCode.OK) {
        accepted.add(step.proposal());
      }
    }
    return accepted;
  }
}
