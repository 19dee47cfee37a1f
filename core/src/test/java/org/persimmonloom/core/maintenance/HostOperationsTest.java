package org.persimmonloom.core.maintenance;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.result.ResultCode;

/**
 * Random sequences of records against plain maps of pools and unavailable hosts.
 *
 * <p>The maps are changed by the accepted records alone and know neither states nor budgets of the
 * fold.
 */
class HostOperationsTest {
  private static final List<String> HOSTS = List.of("a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3");

  private enum Kind {
    DRAIN(8),
    MOVE(5),
    CONFIRM(14),
    CONFIRM_BY_OTHER(14),
    CANCEL(1),
    DOWN(14),
    MOVED(14),
    LOSE(1),
    RETURN(14),
    PROBATION(14),
    LEAVE(1),
    UNLIST(1),
    RELIST(4),
    REMOVE(1),
    RESTART_ENTRY(1),
    PASS(4),
    LOWER(1),
    RAISE(2);

    /** How often it is drawn; the later steps of a drain need several records in order. */
    private final int weight;

    Kind(int weight) {
      this.weight = weight;
    }
  }

  private record Operation(Kind kind, String host) {}

  /** The fold and what the accepted records say about it. */
  private static final class Model {
    private final FleetFixture fleet =
        FleetFixture.withPools(
            FleetFixture.budget("pool", "*", "pool", 2)
                + FleetFixture.budget("rack", "a", "rack", 1));
    private final Map<String, String> poolOf = new TreeMap<>();
    private final Map<String, String> targetOf = new TreeMap<>();
    private final TreeSet<String> out = new TreeSet<>();
    private final TreeSet<String> unlisted = new TreeSet<>();
    private int poolLimit = 2;
    private long otherIncarnation = 1;

    Model() {
      fleet.admit("a", "r1", "a1", "a2", "a3");
      fleet.admit("a", "r2", "a4", "a5");
      fleet.admit("b", "r1", "b1", "b2", "b3");
      HOSTS.forEach(host -> poolOf.put(host, host.substring(0, 1)));
      fleet.propose(
          new MaintenanceRequested(
              "w1",
              List.of(),
              List.of("a1", "a2", "a4", "b1"),
              fleet.nowMillis,
              fleet.nowMillis + 10 * FleetFixture.DAY_MILLIS,
              4,
              1_000,
              "op"));
    }

    private static String rackOf(String host) {
      return host.equals("a4") || host.equals("a5") ? "r2" : "r1";
    }

    private boolean isUnavailable(String host) {
      return out.contains(host) || unlisted.contains(host);
    }

    /** Returns whether the budgets hold for this host's pool and rack, counting the host. */
    private boolean holds(String host, String pool) {
      long inPool = 0;
      long inRack = 0;
      for (String other : poolOf.keySet()) {
        boolean counts = isUnavailable(other) || other.equals(host);
        if (counts && poolOf.get(other).equals(pool)) {
          inPool++;
          inRack += rackOf(other).equals(rackOf(host)) ? 1 : 0;
        }
      }
      return inPool <= poolLimit && (!pool.equals("a") || inRack <= 1);
    }

    private Optional<Proposal> proposal(Operation operation) {
      Host host = fleet.state.hosts().find(operation.host()).orElse(null);
      if (host == null) {
        return Optional.empty();
      }
      String name = host.name();
      long drain = host.drain() == null ? -1 : host.drain().offset();
      long state = host.stateOffset();
      long last = fleet.state.nextOffset() - 1;
      String target = host.pool().equals("a") ? "b" : "a";
      return Optional.ofNullable(
          switch (operation.kind()) {
            case DRAIN -> new DrainRequested(name, "w1");
            case MOVE -> new HostMoveRequested(name, target, last, "test");
            case CONFIRM, CONFIRM_BY_OTHER -> new DrainConfirmed(name, drain);
            case CANCEL -> new DrainCancelled(name, drain, "test");
            case DOWN -> new HostDown(name, drain);
            case MOVED -> new HostMoved(name, drain);
            case LOSE -> new HostLost(name, state, "test");
            case RETURN -> new HostReturned(name, state);
            case PROBATION -> new ProbationOver(name, state);
            case LEAVE -> new HostLeaving(name, state);
            case UNLIST -> new HostsUnlisted(List.of(name), "test", true);
            case RELIST -> new HostsUnlisted(List.of(name), "test", false);
            case REMOVE -> new HostRemoved(name, "op");
            default -> null;
          });
    }

    Model apply(Operation operation) {
      switch (operation.kind()) {
        case PASS -> pass();
        case LOWER -> limit(1);
        case RAISE -> limit(2);
        case RESTART_ENTRY -> fleet.registerEntryHost("e2", ++otherIncarnation);
        default -> proposal(operation).ifPresent(it -> propose(operation, it));
      }
      check();
      return this;
    }

    private void pass() {
      fleet.nowMillis += 20_000;
      fleet.propose(new DrainCancelled("none", 0, "test"));
    }

    private void limit(int limit) {
      if (limit != poolLimit) {
        fleet.applyRelease(
            "[release]\nname = n"
                + fleet.nowMillis
                + "-"
                + fleet.state.nextOffset()
                + "\n[change budget pool]\nmax_unavailable = "
                + limit
                + "\n");
        poolLimit = limit;
      }
    }

    private void propose(Operation operation, Proposal proposal) {
      String host = operation.host();
      String pool = poolOf.get(host);
      boolean isByOther = operation.kind() == Kind.CONFIRM_BY_OTHER;
      ResultCode code =
          isByOther
              ? fleet.proposeAs("e2", otherIncarnation, proposal).code()
              : fleet.resultOf(proposal);
      if (code == ResultCode.BUDGET_EXHAUSTED) {
        assertThat(holds(host, pool)).as("refused " + operation).isFalse();
      }
      if (code == ResultCode.OK) {
        accept(operation.kind(), host, pool);
      }
    }

    private void accept(Kind kind, String host, String pool) {
      switch (kind) {
        case DRAIN, MOVE -> {
          assertThat(holds(host, pool)).as(kind + " of " + host).isTrue();
          out.add(host);
          targetOf.put(host, pool.equals("a") ? "b" : "a");
        }
        case DOWN -> assertThat(holds(host, pool)).as("down " + host).isTrue();
        case MOVED -> {
          assertThat(holds(host, pool)).as("moved " + host).isTrue();
          out.remove(host);
          poolOf.put(host, targetOf.get(host));
        }
        case LOSE -> {
          out.add(host);
          unlisted.remove(host);
        }
        case LEAVE -> out.add(host);
        case CANCEL, PROBATION -> out.remove(host);
        case UNLIST -> unlisted.add(host);
        case RELIST -> unlisted.remove(host);
        case REMOVE -> {
          poolOf.remove(host);
          out.remove(host);
          unlisted.remove(host);
        }
        default -> {}
      }
    }

    private void check() {
      Map<String, String> found = new TreeMap<>();
      List<String> memberships = new ArrayList<>();
      for (Host host : fleet.state.hosts().all()) {
        found.put(host.name(), host.pool());
        assertThat(host.isUnavailable()).as(host.name()).isEqualTo(isUnavailable(host.name()));
      }
      for (String pool : List.of("a", "b", "w")) {
        fleet.state.hosts().inPool(pool).forEach(host -> memberships.add(host.name()));
      }
      assertThat(found).isEqualTo(poolOf);
      assertThat(memberships).containsExactlyInAnyOrderElementsOf(poolOf.keySet());
    }
  }

  private static final class Step implements Action.Independent<Model> {
    @Override
    public Arbitrary<Transformer<Model>> transformer() {
      List<Tuple.Tuple2<Integer, Kind>> weights = new ArrayList<>();
      for (Kind kind : Kind.values()) {
        weights.add(Tuple.of(kind.weight, kind));
      }
      Arbitrary<Kind> kinds = Arbitraries.frequency(weights);
      return Combinators.combine(kinds, Arbitraries.of(HOSTS))
          .as(Operation::new)
          .map(
              operation ->
                  Transformer.transform(operation.toString(), model -> model.apply(operation)));
    }
  }

  @Provide
  Arbitrary<ActionChain<Model>> chains() {
    return ActionChain.startWith(Model::new).withAction(new Step()).withMaxTransformations(120);
  }

  /** Guards against any order of records that breaks a budget or a host's single membership. */
  @Property(seed = "20261204", tries = 400)
  void budgetsHoldAndEachHostHasOnePool(@ForAll("chains") ActionChain<Model> chain) {
    chain.run();
  }
}
