package org.persimmonloom.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.core.capacity.CapacityFixtures.BOT;
import static org.persimmonloom.core.capacity.CapacityFixtures.DEPOT;
import static org.persimmonloom.core.capacity.CapacityFixtures.NOW;
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
  private static final LongToDoubleFunction FLAT = at -> 16;
  private final TrendPolicy policy = new TrendPolicy(CapacityFixtures.SETTINGS);

  private static PoolView plain(String name, int hosts, LongToDoubleFunction mean, int queue) {
    DemandForecast demand = forecast(rotating(queue, mean), NOW, 4_000);
    return pool(name, hosts(name, hosts, HostState.AVAILABLE, 0), 3, demand);
  }

  private static PoolView spare() {
    return plain("spare", 12, at -> 6, 4);
  }

  /** Growth that needs more than the pool's 8 hosts at the end of the window. */
  private static double growing(long at) {
    return 16 + Math.max(0, at - NOW + 600_000) / 20_000.0;
  }

  static Stream<Arguments> demands() {
    return Stream.of(
        Arguments.of("rotation", FLAT, 0),
        Arguments.of("one more burst", (LongToDoubleFunction) at -> at > NOW - 12_000 ? 30 : 16, 0),
        Arguments.of("lasting growth", (LongToDoubleFunction) TrendPolicyTest::growing, 1));
  }

  /** Guards against moves that follow a burst, and against a trend that moves nothing. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("demands")
  void onlyTheTrendMovesHosts(String name, LongToDoubleFunction mean, int moves) {
    CapacityPlan plan = policy.plan(view(DEPOT, List.of(), plain("a", 6, mean, 0), spare()), NOW);
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

  static Stream<Arguments> doubtfulReports() {
    LongToDoubleFunction growth = rotating(0, TrendPolicyTest::growing);
    return Stream.of(
        Arguments.of("none", DemandForecast.UNKNOWN),
        Arguments.of("late", forecast(growth, NOW, 60_000)),
        Arguments.of(
            "gaps",
            new DemandForecaster(CapacityFixtures.SETTINGS)
                .forecast(List.of(new DemandSample(NOW - 90_000, NOW - 2_000, 90)), NOW)));
  }

  /** Guards against acting on reports that are old or have gaps. */
  @ParameterizedTest(name = "{0}")
  @MethodSource("doubtfulReports")
  void doubtfulReportsMoveNothing(String name, DemandForecast demand) {
    PoolView target = pool("a", hosts("a", 8, HostState.AVAILABLE, 0), 3, demand);
    CapacityPlan plan = policy.plan(view(DEPOT, List.of(), target, spare()), NOW);
    assertThat(plan.moves()).isEmpty();
    assertThat(plan.poolDecisions().get(0).reason()).contains("too few to act on");
  }

  /** Guards against a return of surplus hosts to a spare pool whose reports are missing. */
  @Test
  void surplusStaysWhileTheSparePoolIsUnknown() {
    PoolView surplus = plain("a", 12, at -> 6, 0);
    PoolView unknown =
        pool("spare", hosts("spare", 4, HostState.AVAILABLE, 0), 3, DemandForecast.UNKNOWN);
    assertThat(policy.plan(view(DEPOT, List.of(), surplus, spare()), NOW).moves()).hasSize(1);
    assertThat(policy.plan(view(DEPOT, List.of(), surplus, unknown), NOW).moves()).isEmpty();
  }

  /** Guards against moves while the host list is doubted. */
  @Test
  void doubtedHostListMovesNothing() {
    PoolView target = plain("a", 6, TrendPolicyTest::growing, 0);
    CapacityView view = new CapacityView(1, DEPOT, List.of(target, spare()), List.of(), true);
    assertThat(policy.plan(view, NOW).moves()).isEmpty();
  }

  /** Guards against a second move for a shortfall that hosts on their way already cover. */
  @Test
  void hostsOnTheirWayCount() {
    List<HostView> leaving = new ArrayList<>(hosts("spare", 9, HostState.AVAILABLE, 0));
    for (int i = 9; i < 15; i++) {
      leaving.add(new HostView("s" + i, "x" + i, "d" + i, HostState.DOWN, "a", false, 0, 0));
    }
    PoolView from = pool("spare", leaving, 20, spare().demand());
    PoolView target = plain("a", 6, TrendPolicyTest::growing, 0);
    assertThat(policy.plan(view(DEPOT, List.of(), target, from), NOW).moves()).isEmpty();
  }

  /** Guards against oscillation: rotating demand over an hour, replanned every five seconds. */
  @Property(tries = 10, seed = "7")
  void rotationCausesFewMoves(@ForAll int seed) {
    Random random = new Random(seed);
    int[] sizes = {8, 8, 8, 8, 8};
    int phase = random.nextInt(30_000);
    List<RecentMove> moves = new ArrayList<>();
    for (long now = NOW; now < NOW + 3_600_000; now += 5_000) {
      PoolView[] pools = new PoolView[5];
      for (int i = 0; i < 5; i++) {
        int queue = i;
        LongToDoubleFunction demand = at -> rotating(queue, FLAT).applyAsDouble(at + phase);
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
    // Each pool may once settle to its need, by at most three hosts; nothing may go back and forth.
    assertThat(moves).hasSizeLessThanOrEqualTo(12);
    assertThat(moves).allMatch(move -> move.toPool().equals("spare"));
  }

  private static int index(String pool) {
    return pool.equals("spare") ? 4 : pool.charAt(1) - '0';
  }

  /** Guards against a plan that a budget forbids, and against plans that depend on the planner. */
  @Property(tries = 300, seed = "11")
  void plansKeepBudgetsAndAreEqual(@ForAll int seed) {
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
      DemandForecast demand = forecast(rotating(i, at -> mean), NOW, 4_000);
      pools[i] = pool(name, hosts, random.nextInt(5), random.nextBoolean(), demand);
    }
    CapacityView view = view(random.nextBoolean() ? DEPOT : BOT, List.of(), pools);
    CapacityPlan plan = policy.plan(view, NOW);
    CapacityView shuffled = view(view.weights(), List.of(), pools[2], pools[0], pools[3], pools[1]);
    assertThat(new TrendPolicy(CapacityFixtures.SETTINGS).plan(shuffled, NOW)).isEqualTo(plan);
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
    return find(view, pool).budgets().get(0);
  }

  private static PoolView find(CapacityView view, String pool) {
    return view.pools().stream().filter(each -> each.name().equals(pool)).findFirst().get();
  }

  private static void assertBudgetRoom(CapacityView view, String pool, String name) {
    PoolView from = find(view, pool);
    HostView host =
        from.hosts().stream().filter(each -> each.name().equals(name)).findFirst().get();
    assertThat(from.budgets())
        .filteredOn(budget -> budget.covers(host.rack(), host.dataCentre()))
        .allMatch(budget -> budget.room() > 0);
  }

  /** Guards against a weight that changes a decision in the wrong direction. */
  @Test
  void eachWeightMovesItsLimits() {
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

  /** Guards against weights that have no effect on moves and on the pace of a wave. */
  @Test
  void weightsChangeThePlan() {
    PoolView target = plain("a", 7, at -> 36, 0);
    PoolView small = plain("spare", 5, at -> 6, 4);
    PoolView inWave =
        pool(
            "b",
            hosts("b", 6, HostState.AVAILABLE, 0),
            3,
            true,
            forecast(rotating(1, FLAT), NOW, 4_000));
    CapacityPlan depot = policy.plan(view(DEPOT, List.of(), target, inWave, small), NOW);
    CapacityPlan bot = policy.plan(view(BOT, List.of(), target, inWave, small), NOW);
    assertThat(depot.moves()).hasSize(1);
    assertThat(bot.moves()).isEmpty();
    assertThat(bot.paces().get("b").maxDown()).isGreaterThan(depot.paces().get("b").maxDown());
  }

  /** Guards against a report that leaves out a pool or the reason of a move. */
  @Test
  void reportNamesEveryPoolAndMove() {
    PoolView target = plain("a", 6, TrendPolicyTest::growing, 0);
    CapacityView view = view(DEPOT, List.of(), target, spare());
    String text = CapacityReport.of(view, policy.plan(view, NOW)).text();
    assertThat(text).contains("\na  ", "\nspare  ", "move spare-0 spare -> a: a has 6 hosts");
  }
}
