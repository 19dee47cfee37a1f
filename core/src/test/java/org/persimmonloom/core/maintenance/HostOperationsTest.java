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
 * Compares the fleet state with a reference model under random sequences of records.
 *
 * <p>The model consists of plain maps of pools and unavailable hosts. It changes only with accepted
 * records and reads neither host states nor budgets from the fleet state.
 */
class HostOperationsTest {
  private static final List<String> HOSTS = List.of("a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3");

  private enum Kind {
    DRAIN(8),
    MOVE(5),
    CONFIRM(14),
    CONFIRM_BY_SECOND_ENTRY(14),
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

    /**
     * Relative frequency of the operation. The later steps of a drain have high weights because
     * they need several records in order.
     */
    private final int weight;

    Kind(int weight) {
      this.weight = weight;
    }
  }

  private record Operation(Kind kind, String host) {}

  /** The fleet state and the expected state derived from the accepted records. */
  private static final class Model {
    private final FleetFixture fleet =
        FleetFixture.withPools(
            FleetFixture.budget("pool", "*", "pool", 2)
                + FleetFixture.budget("rack", "a", "rack", 1));
    private final Map<String, String> poolOf = new TreeMap<>();
    private final Map<String, String> targetPoolOf = new TreeMap<>();
    private final TreeSet<String> outOfService = new TreeSet<>();
    private final TreeSet<String> unlisted = new TreeSet<>();
    private int poolLimit = 2;
    private long secondEntryIncarnation = 1;

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
      return outOfService.contains(host) || unlisted.contains(host);
    }

    /**
     * Returns whether the budgets of the pool and of the host's rack are kept, counting the host.
     */
    private boolean budgetsAreKept(String host, String pool) {
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
      long drainOffset = host.drain() == null ? -1 : host.drain().offset();
      long stateOffset = host.stateOffset();
      long lastOffset = fleet.state.nextOffset() - 1;
      String target = host.pool().equals("a") ? "b" : "a";
      return Optional.ofNullable(
          switch (operation.kind()) {
            case DRAIN -> new DrainRequested(name, "w1");
            case MOVE -> new HostMoveRequested(name, target, lastOffset, "test");
            case CONFIRM, CONFIRM_BY_SECOND_ENTRY -> new DrainConfirmed(name, drainOffset);
            case CANCEL -> new DrainCancelled(name, drainOffset, "test");
            case DOWN -> new HostDown(name, drainOffset);
            case MOVED -> new HostMoved(name, drainOffset);
            case LOSE -> new HostLost(name, stateOffset, "test");
            case RETURN -> new HostReturned(name, stateOffset);
            case PROBATION -> new ProbationOver(name, stateOffset);
            case LEAVE -> new HostLeaving(name, stateOffset);
            case UNLIST -> new HostsUnlisted(List.of(name), "test", true);
            case RELIST -> new HostsUnlisted(List.of(name), "test", false);
            case REMOVE -> new HostRemoved(name, "op");
            default -> null;
          });
    }

    Model apply(Operation operation) {
      switch (operation.kind()) {
        case PASS -> advanceTime();
        case LOWER -> setPoolLimit(1);
        case RAISE -> setPoolLimit(2);
        case RESTART_ENTRY -> fleet.registerEntryHost("e2", ++secondEntryIncarnation);
        default -> proposal(operation).ifPresent(proposal -> propose(operation, proposal));
      }
      compareWithFleet();
      return this;
    }

    private void advanceTime() {
      fleet.nowMillis += 20_000;
      fleet.propose(new DrainCancelled("none", 0, "test"));
    }

    private void setPoolLimit(int limit) {
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
      boolean isBySecondEntry = operation.kind() == Kind.CONFIRM_BY_SECOND_ENTRY;
      ResultCode code =
          isBySecondEntry
              ? fleet.proposeAs("e2", secondEntryIncarnation, proposal).code()
              : fleet.resultOf(proposal);
      if (code == ResultCode.BUDGET_EXHAUSTED) {
        assertThat(budgetsAreKept(host, pool)).as("refused " + operation).isFalse();
      }
      if (code == ResultCode.OK) {
        accept(operation.kind(), host, pool);
      }
    }

    private void accept(Kind kind, String host, String pool) {
      switch (kind) {
        case DRAIN, MOVE -> {
          assertThat(budgetsAreKept(host, pool)).as(kind + " of " + host).isTrue();
          outOfService.add(host);
          targetPoolOf.put(host, pool.equals("a") ? "b" : "a");
        }
        case DOWN -> assertThat(budgetsAreKept(host, pool)).as("down " + host).isTrue();
        case MOVED -> {
          assertThat(budgetsAreKept(host, pool)).as("moved " + host).isTrue();
          outOfService.remove(host);
          poolOf.put(host, targetPoolOf.get(host));
        }
        case LOSE -> {
          outOfService.add(host);
          unlisted.remove(host);
        }
        case LEAVE -> outOfService.add(host);
        case CANCEL, PROBATION -> outOfService.remove(host);
        case UNLIST -> unlisted.add(host);
        case RELIST -> unlisted.remove(host);
        case REMOVE -> {
          poolOf.remove(host);
          outOfService.remove(host);
          unlisted.remove(host);
        }
        default -> {}
      }
    }

    private void compareWithFleet() {
      Map<String, String> actualPools = new TreeMap<>();
      List<String> memberships = new ArrayList<>();
      for (Host host : fleet.state.hosts().all()) {
        actualPools.put(host.name(), host.pool());
        assertThat(host.isUnavailable()).as(host.name()).isEqualTo(isUnavailable(host.name()));
      }
      for (String pool : List.of("a", "b", "w")) {
        fleet.state.hosts().inPool(pool).forEach(host -> memberships.add(host.name()));
      }
      assertThat(actualPools).isEqualTo(poolOf);
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

  /** Guards against an order of records that exceeds a budget or puts a host into two pools. */
  @Property(seed = "20261204", tries = 400)
  void budgetsAreKeptAndEachHostHasOnePool(@ForAll("chains") ActionChain<Model> chain) {
    chain.run();
  }
}
