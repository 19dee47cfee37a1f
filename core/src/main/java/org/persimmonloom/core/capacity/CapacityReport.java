package org.persimmonloom.core.capacity;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.persimmonloom.core.host.HostState;

/**
 * The report of {@code report capacity}: for each pool its hosts by state, its demand, its head
 * room and the decision of the plan. Pure; safe for any thread.
 *
 * @param rows one for each pool, sorted by name
 */
public record CapacityReport(long offset, List<Row> rows) {
  /**
   * One pool.
   *
   * @param trend demand expected without bursts, in slots
   * @param peak demand at the height of a burst, in slots
   * @param headRoom projected hosts less required hosts; negative if the pool lacks hosts
   * @param pace hosts that a maintenance wave may have down at once
   * @param verdict reason of the decision for this pool
   * @param moves proposed moves from or to this pool, with their reasons
   */
  public record Row(
      String pool,
      Map<HostState, Integer> hosts,
      double trend,
      double peak,
      double headRoom,
      int pace,
      String verdict,
      List<String> moves) {
    /** Returns how many hosts of the pool are in this state. */
    public int count(HostState state) {
      return hosts.getOrDefault(state, 0);
    }
  }

  /** Builds the report from a view and the plan that was computed from it. */
  public static CapacityReport of(CapacityView view, CapacityPlan plan) {
    List<Row> rows = new ArrayList<>();
    for (int i = 0; i < view.pools().size(); i++) {
      rows.add(row(view.pools().get(i), plan.poolDecisions().get(i), plan));
    }
    return new CapacityReport(view.offset(), List.copyOf(rows));
  }

  private static Row row(PoolView pool, PoolDecision decision, CapacityPlan plan) {
    Map<HostState, Integer> hosts = new EnumMap<>(HostState.class);
    pool.hosts().forEach(host -> hosts.merge(host.state(), 1, Integer::sum));
    List<String> moves =
        plan.moves().stream()
            .filter(
                move -> move.fromPool().equals(pool.name()) || move.toPool().equals(pool.name()))
            .map(
                move ->
                    move.host()
                        + " "
                        + move.fromPool()
                        + " -> "
                        + move.toPool()
                        + ": "
                        + move.reason())
            .toList();
    return new Row(
        pool.name(),
        Map.copyOf(hosts),
        pool.demand().trend(),
        pool.demand().peak(),
        decision.projectedHosts() - decision.requiredHosts(),
        plan.paces().get(pool.name()).maxDown(),
        decision.reason(),
        moves);
  }

  /** Formats the report as text: for each pool a table row, its decision and its moves. */
  public String text() {
    StringBuilder text = new StringBuilder("capacity at offset " + offset + "\n");
    text.append(
        String.format(
            "%-22s %5s %5s %5s %5s %7s %7s %9s %4s%n",
            "pool", "avail", "drain", "down", "lost", "trend", "peak", "head room", "pace"));
    for (Row row : rows) {
      text.append(
          String.format(
              Locale.ROOT,
              "%-22s %5d %5d %5d %5d %7.1f %7.1f %9.1f %4d%n",
              row.pool(),
              row.count(HostState.AVAILABLE),
              row.count(HostState.DRAINING) + row.count(HostState.DRAINED),
              row.count(HostState.DOWN) + row.count(HostState.RETURNED),
              row.count(HostState.LOST),
              row.trend(),
              row.peak(),
              row.headRoom(),
              row.pace()));
      text.append("    ").append(row.verdict()).append('\n');
      row.moves().forEach(move -> text.append("    move ").append(move).append('\n'));
    }
    return text.toString();
  }
}
