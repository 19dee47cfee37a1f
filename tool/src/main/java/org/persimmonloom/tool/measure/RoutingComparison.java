package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/** Runs each strategy at the same seeds and sums the figures up as median and spread. */
final class RoutingComparison {
  private static final Map<String, ToDoubleFunction<RoutingResult>> MEASURES = measures();

  private final RoutingModel model;
  private final int seeds;

  RoutingComparison(RoutingModel model, int seeds) {
    this.model = model;
    this.seeds = seeds;
  }

  /** Returns the measures of each strategy. */
  Map<String, Map<String, Spread>> run() {
    Map<String, Map<String, Spread>> rows = new LinkedHashMap<>();
    for (RoutingStrategy strategy :
        List.of(new LeastLoadedStrategy(), new SlotShareStrategy(), new OwnerStrategy())) {
      List<RoutingResult> results = new ArrayList<>();
      for (int seed = 1; seed <= seeds; seed++) {
        results.add(new RoutingSimulation(model, strategy, seed).run());
      }
      Map<String, Spread> row = new LinkedHashMap<>();
      MEASURES.forEach(
          (name, measure) ->
              row.put(name, Spread.of(results.stream().mapToDouble(measure).toArray())));
      rows.put(strategy.label(), row);
    }
    return rows;
  }

  /** Returns a table with a line per measure and a column per strategy. */
  static String table(Map<String, Map<String, Spread>> rows) {
    StringBuilder text = new StringBuilder("| measure |");
    rows.keySet().forEach(label -> text.append(' ').append(label).append(" |"));
    text.append("\n|---|").append("---|".repeat(rows.size()));
    for (String measure : MEASURES.keySet()) {
      text.append("\n| ").append(measure).append(" |");
      rows.values().forEach(row -> text.append(' ').append(row.get(measure).text(1)).append(" |"));
    }
    return text.toString();
  }

  private static Map<String, ToDoubleFunction<RoutingResult>> measures() {
    Map<String, ToDoubleFunction<RoutingResult>> measures = new LinkedHashMap<>();
    measures.put("short wait p50, ms", RoutingResult::shortP50Millis);
    measures.put("short wait p99, ms", RoutingResult::shortP99Millis);
    measures.put("short wait behind long work, %", RoutingResult::behindLongPercent);
    measures.put("long wait p99, ms", RoutingResult::longP99Millis);
    measures.put("refused, %", RoutingResult::refusedPercent);
    measures.put("refused long requests", RoutingResult::refusedLong);
    measures.put("arrivals at a full endpoint, %", RoutingResult::overcommitPercent);
    measures.put("most requests beyond the slots", RoutingResult::overcommitMax);
    measures.put("lost with an entry host", RoutingResult::lost);
    measures.put("cut off with an entry host", RoutingResult::cutOff);
    measures.put("sent", RoutingResult::sent);
    return measures;
  }
}
