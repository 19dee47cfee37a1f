package org.persimmonloom.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.capacity.CapacityFixtures.BOT;
import static org.persimmonloom.core.capacity.CapacityFixtures.DEPOT;
import static org.persimmonloom.core.capacity.CapacityFixtures.NOW_MILLIS;
import static org.persimmonloom.core.capacity.CapacityFixtures.forecast;
import static org.persimmonloom.core.capacity.CapacityFixtures.hosts;
import static org.persimmonloom.core.capacity.CapacityFixtures.pool;
import static org.persimmonloom.core.capacity.CapacityFixtures.rotating;
import static org.persimmonloom.core.capacity.CapacityFixtures.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.Weights;

class TrendPolicyTest {
  private static final LongToDoubleFunction CONSTANT_DEMAND = at -> 16;
  private final TrendPolicy policy = new TrendPolicy(CapacityFixtures.SETTINGS);

  private static PoolView availablePool(
      String name, int hosts, LongToDoubleFunction mean, int queue) {
    DemandForecast demand = forecast(rotating(queue, mean), NOW_MILLIS, 4_000);
    return pool(name, hosts(name, hosts, HostState.AVAILABLE, 0), 3, demand);
  }

  private static PoolView sparePool() {
    return availablePool("spare", 12, at -> 6, 4);
  }

  /** Demand whose growth requires more hosts than the target pool has at the end of the window. */
  private static double growing(long at) {
    return 16 + Math.max(0, at - NOW_MILLIS + 600_000) / 20_000.0;
  }

  static Stream<Arguments> demands() {
    return Stream.of(
        Arguments.of("rotating bursts", CONSTANT_DEMAND, 0),
        Arguments.of(
            "one more burst", (LongToDoubleFunction) at -> at > NOW_MILLIS - 12_000 ? 30 : 16, 0),
        Arguments.of("lasting growth", (LongToDoubleFunction) TrendPolicyTest::growing, 1));
  }

  /** Guards against moves caused by a burst, and against a rising trend that causes no move. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("demands")
  void onlyTheTrendMovesHosts(String name, LongToDoubleFunction mean, int moves) {
    CapacityPlan plan =
        policy.plan(
            view(DEPOT, List.of(), availablePool("a", 6, mean, 0), sparePool()), NOW_MILLIS);
    assertThat(plan.moves()).hasSize(moves);
    plan.moves()
        .forEach(
            move -> {
              assertThat(move.fromPool()).isEqualTo("spare");
              assertThat(move.toPool()).isEqualTo("a");
              assertThat(move.basedOnOffset()).isEqualTo(77);
              assertThat(move.reason()).contains("needs");
            });
  }

  static Stream<Arguments> unreliableReports() {
    LongToDoubleFunction growth = rotating(0, TrendPolicyTest::growing);
    return Stream.of(
        Arguments.of("none", DemandForecast.UNKNOWN),
        Arguments.of("late", forecast(growth, NOW_MILLIS, 60_000)),
        Arguments.of(
            "gaps",
            new DemandForecaster(CapacityFixtures.SETTINGS)
                .forecast(
                    List.of(new DemandSample(NOW_MILLIS - 90_000, NOW_MILLIS - 2_000, 90)),
                    NOW_MILLIS)));
  }

  /** Guards against moves planned from reports that are missing, old or have gaps. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("unreliableReports")
  void noMoveWithUnreliableReports(String name, DemandForecast demand) {
    PoolView target = pool("a", hosts("a", 8, HostState.AVAILABLE, 0), 3, demand);
    CapacityPlan plan = policy.plan(view(DEPOT, List.of(), target, sparePool()), NOW_MILLIS);
    assertThat(plan.moves()).isEmpty();
    assertThat(plan.poolDecisions().get(0).reason()).contains("too few to act on");
  }

  /** Guards against a return of surplus hosts to a spare pool whose reports are missing. */
  @Test
  void noSurplusReturnWhileDemandOfSparePoolIsUnknown() {
    PoolView surplus = availablePool("a", 12, at -> 6, 0);
    PoolView unknown =
        pool("spare", hosts("spare", 4, HostState.AVAILABLE, 0), 3, DemandForecast.UNKNOWN);
    assertThat(policy.plan(view(DEPOT, List.of(), surplus, sparePool()), NOW_MILLIS).moves())
        .hasSize(1);
    assertThat(policy.plan(view(DEPOT, List.of(), surplus, unknown), NOW_MILLIS).moves()).isEmpty();
  }

  /** Guards against moves during a mass event in the host list. */
  @Test
  void noMoveDuringMassEvent() {
    PoolView target = availablePool("a", 6, TrendPolicyTest::growing, 0);
    CapacityView view = new CapacityView(1, DEPOT, List.of(target, sparePool()), List.of(), true);
    assertThat(policy.plan(view, NOW_MILLIS).moves()).isEmpty();
  }

  /** Guards against a further move for a shortfall that the moves in progress already cover. */
  @Test
  void movesInProgressCountTowardsTarget() {
    List<HostView> hosts = new ArrayList<>(hosts("spare", 9, HostState.AVAILABLE, 0));
    for (int i = 9; i < 15; i++) {
      hosts.add(new HostView("s" + i, "x" + i, "d" + i, HostState.DOWN, "a", false, 0, 0));
    }
    PoolView from = pool("spare", hosts, 20, sparePool().demand());
    PoolView target = availablePool("a", 6, TrendPolicyTest::growing, 0);
    assertThat(policy.plan(view(DEPOT, List.of(), target, from), NOW_MILLIS).moves()).isEmpty();
  }

  /** Guards against oscillation under rotating demand, planned every five seconds for an hour. */
  @Property(tries = 10, seed = "7")
  void rotationCausesFewMoves(@ForAll int seed) {
    Random random = new Random(seed);
    int[] sizes = {8, 8, 8, 8, 8};
    int phase = random.nextInt(30_000);
    List<RecentMove> moves = new ArrayList<>();
    for (long now = NOW_MILLIS; now < NOW_MILLIS + 3_600_000; now += 5_000) {
      PoolView[] pools = new PoolView[5];
      for (int i = 0; i < 5; i++) {
        int queue = i;
        LongToDoubleFunction demand =
            at -> rotating(queue, CONSTANT_DEMAND).applyAsDouble(at + phase);
        String name = i == 4 ? "spare" : "p" + i;
        pools[i] =
            pool(
                name,
                hosts(name, sizes[i], HostState.AVAILABLE, 0),
                3,
                forecast(demand, now, 4_000));
      }
      CapacityPlan plan = policy.plan(view(DEPOT, moves, pools), now);
      for (ProposedMove move : plan.moves()) {
        sizes[index(move.fromPool())]--;
        sizes[index(move.toPool())]++;
        moves.add(new RecentMove(move.host(), move.fromPool(), move.toPool(), now));
      }
    }
    // Each pool may return up to three surplus hosts once; no host may move back.
    assertThat(moves).hasSizeLessThanOrEqualTo(12);
    assertThat(moves).allMatch(move -> move.toPool().equals("spare"));
  }

  private static int index(String pool) {
    return pool.equals("spare") ? 4 : pool.charAt(1) - '0';
  }

  /**
   * Guards against moves beyond a budget, and against plans that depend on the order of the pools.
   */
  @Property(tries = 300, seed = "11")
  void plansKeepBudgetsAndIgnorePoolOrder(@ForAll int seed) {
    Random random = new Random(seed);
    PoolView[] pools = new PoolView[4];
    for (int i = 0; i < pools.length; i++) {
      String name = i == 3 ? "spare" : "p" + i;
      List<HostView> hosts =
          hosts(
              name,
              4 + random.nextInt(8),
              HostState.values()[1 + random.nextInt(5)],
              random.nextInt(4));
      double mean = random.nextInt(40);
      DemandForecast demand = forecast(rotating(i, at -> mean), NOW_MILLIS, 4_000);
      pools[i] = pool(name, hosts, random.nextInt(5), random.nextBoolean(), demand);
    }
    CapacityView view = view(random.nextBoolean() ? DEPOT : BOT, List.of(), pools);
    CapacityPlan plan = policy.plan(view, NOW_MILLIS);
    CapacityView shuffled = view(view.weights(), List.of(), pools[2], pools[0], pools[3], pools[1]);
    assertThat(new TrendPolicy(CapacityFixtures.SETTINGS).plan(shuffled, NOW_MILLIS))
        .isEqualTo(plan);
    for (ProposedMove move : plan.moves()) {
      assertBudgetRoom(view, move.fromPool(), move.host());
      assertThat(poolBudget(view, move.toPool()).room()).isPositive();
    }
    for (PoolView pool : view.pools()) {
      int lost = pool.count(HostState.LOST);
      assertThat(plan.paces().get(pool.name()).maxDown())
          .isBetween(0, Math.max(0, pool.poolLimit() - lost));
    }
  }

  private static DomainBudget poolBudget(CapacityView view, String pool) {
    return poolNamed(view, pool).budgets().get(0);
  }

  private static PoolView poolNamed(CapacityView view, String pool) {
    return view.pools().stream().filter(each -> each.name().equals(pool)).findFirst().get();
  }

  private static void assertBudgetRoom(CapacityView view, String pool, String name) {
    PoolView from = poolNamed(view, pool);
    HostView host =
        from.hosts().stream().filter(each -> each.name().equals(name)).findFirst().get();
    assertThat(from.budgets())
        .filteredOn(budget -> budget.covers(host.rack(), host.dataCentre()))
        .allMatch(budget -> budget.room() > 0);
  }

  /** Guards against a weight that changes a limit in the wrong direction. */
  @Test
  void eachWeightChangesItsLimits() {
    CapacityLimits even = CapacityLimits.from(Weights.EVEN, 60_000);
    CapacityLimits shortWait = CapacityLimits.from(new Weights(5, 1, 1, 1), 60_000);
    CapacityLimits buffer = CapacityLimits.from(new Weights(1, 5, 1, 1), 60_000);
    CapacityLimits rollout = CapacityLimits.from(new Weights(1, 1, 9, 1), 60_000);
    CapacityLimits moves = CapacityLimits.from(new Weights(1, 1, 1, 5), 60_000);
    assertThat(shortWait.burstCoverage()).isGreaterThan(even.burstCoverage());
    assertThat(shortWait.bufferShare()).isGreaterThan(even.bufferShare());
    assertThat(buffer.bufferShare()).isLessThan(even.bufferShare());
    assertThat(buffer.surplusThreshold()).isLessThan(even.surplusThreshold());
    assertThat(rollout.waveOverdraft()).isGreaterThan(even.waveOverdraft());
    assertThat(rollout.unplannedReserve()).isLessThan(even.unplannedReserve());
    assertThat(moves.shortfallThreshold()).isGreaterThan(even.shortfallThreshold());
    assertThat(moves.surplusThreshold()).isGreaterThan(even.surplusThreshold());
    assertThat(moves.moveIntervalMillis()).isGreaterThan(even.moveIntervalMillis());
  }

  /** Guards against weights that have no effect on moves or on the pace of a wave. */
  @Test
  void weightsChangeMovesAndPace() {
    PoolView target = availablePool("a", 7, at -> 36, 0);
    PoolView smallSparePool = availablePool("spare", 5, at -> 6, 4);
    PoolView inWave =
        pool(
            "b",
            hosts("b", 6, HostState.AVAILABLE, 0),
            3,
            true,
            forecast(rotating(1, CONSTANT_DEMAND), NOW_MILLIS, 4_000));
    CapacityPlan depot =
        policy.plan(view(DEPOT, List.of(), target, inWave, smallSparePool), NOW_MILLIS);
    CapacityPlan bot =
        policy.plan(view(BOT, List.of(), target, inWave, smallSparePool), NOW_MILLIS);
    assertThat(depot.moves()).hasSize(1);
    assertThat(bot.moves()).isEmpty();
    assertThat(bot.paces().get("b").maxDown()).isGreaterThan(depot.paces().get("b").maxDown());
  }

  /** Guards against a report that omits a pool or the reason for a move. */
  @Test
  void reportListsEveryPoolAndMove() {
    PoolView target = availablePool("a", 6, TrendPolicyTest::growing, 0);
    CapacityView view = view(DEPOT, List.of(), target, sparePool());
    String text = CapacityReport.of(view, policy.plan(view, NOW_MILLIS)).text();
    assertThat(text).contains("\na  ", "\nspare  ", "move spare-0 spare -> a: a has 6 hosts");
  }
}
