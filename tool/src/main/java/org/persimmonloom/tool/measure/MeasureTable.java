package org.persimmonloom.tool.measure;

import java.util.List;
import java.util.Locale;

/** Prints the summaries side by side: median and, in brackets, least and greatest. */
final class MeasureTable {
  private MeasureTable() {}

  static String text(Deployment deployment, List<PolicySummary> summaries) {
    StringBuilder text = new StringBuilder();
    text.append("deployment ").append(deployment.name().toLowerCase(Locale.ROOT)).append('\n');
    text.append(Score.formula(deployment.weights())).append("; lower is better\n");
    text.append(
        String.format(
            "%-10s %-6s %-18s %-20s %-16s %-14s %-15s %-18s %-18s %-12s %-4s %s%n",
            "policy",
            "faults",
            "score",
            "buffer host-hours",
            "roll-out s",
            "moves",
            "short p50 ms",
            "short p99 ms",
            "head-of-line",
            "long left",
            "viol",
            "refused"));
    summaries.forEach(summary -> text.append(line(summary)));
    return text.toString();
  }

  private static String line(PolicySummary summary) {
    return String.format(
        "%-10s %-6s %-18s %-20s %-16s %-14s %-15s %-18s %-18s %-12s %-4d %d%n",
        summary.policy().name().toLowerCase(Locale.ROOT),
        summary.hasFaults() ? "yes" : "no",
        summary.score().text(2),
        summary.bufferHours().text(1),
        summary.rolloutSeconds().text(0),
        summary.moves().text(0),
        summary.waitP50Millis().text(1),
        summary.waitP99Millis().text(0),
        summary.headOfLineShare().text(2),
        summary.longUnfinished().text(0),
        summary.violations(),
        summary.refusals());
  }
}
