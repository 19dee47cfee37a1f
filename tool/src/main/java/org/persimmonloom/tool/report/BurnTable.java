package org.persimmonloom.tool.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Formats error budgets as a table. Stateless. */
public final class BurnTable {
  private static final double HUNDRED = 100;

  private BurnTable() {}

  /** Returns one line for each service under a heading. */
  public static String format(List<ServiceBurn> burns) {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            "%-16s %10s %10s %12s %10s %10s  %s",
            "service",
            "objective",
            "requests",
            "budget left",
            "burn short",
            "burn long",
            "spent by"));
    for (ServiceBurn burn : burns) {
      lines.add(
          String.format(
              Locale.ROOT,
              "%-16s %9.3f%% %10d %11.1f%% %10s %10s  %s",
              burn.service(),
              burn.objectivePercent(),
              burn.requests(),
              burn.budgetLeft() * HUNDRED,
              rate(burn.shortBurnRate()),
              rate(burn.longBurnRate()),
              spentBy(burn)));
    }
    return String.join("\n", lines);
  }

  private static String rate(Double rate) {
    return rate == null ? "-" : String.format(Locale.ROOT, "%.2f", rate);
  }

  private static String spentBy(ServiceBurn burn) {
    if (burn.spentBy().isEmpty()) {
      return "-";
    }
    return burn.spentBy().entrySet().stream()
        .map(it -> String.format(Locale.ROOT, "%s %.0f%%", it.getKey(), it.getValue() * HUNDRED))
        .collect(Collectors.joining(", "));
  }
}
