package org.persimmonloom.tool.command;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;

/**
 * Formats a JSON list of flat objects as a table with aligned columns, one for each key in the
 * order of the first object that has it. Stateless.
 */
public final class JsonTable {
  private static final String GAP = "  ";

  private JsonTable() {}

  /** Returns the table, or why the text is not a list of objects. */
  public static Either<Failure, String> format(String json) {
    return ProposalTypes.CODEC.fromJson(json, Map[].class).map(rows -> format(List.of(rows)));
  }

  @SuppressWarnings("rawtypes")
  private static String format(List<Map> rows) {
    Map<String, Integer> widths = new LinkedHashMap<>();
    for (Map<?, ?> row : rows) {
      row.forEach(
          (key, value) -> {
            String column = String.valueOf(key);
            int width = Math.max(column.length(), String.valueOf(value).length());
            widths.merge(column, width, Math::max);
          });
    }
    List<String> lines = new ArrayList<>();
    StringBuilder heading = new StringBuilder();
    widths.forEach((column, width) -> append(heading, column, width));
    lines.add(heading.toString().stripTrailing());
    for (Map<?, ?> row : rows) {
      StringBuilder line = new StringBuilder();
      widths.forEach(
          (column, width) -> {
            Object value = row.get(column);
            append(line, value == null ? "" : value.toString(), width);
          });
      lines.add(line.toString().stripTrailing());
    }
    return String.join("\n", lines);
  }

  private static void append(StringBuilder line, String text, int width) {
    line.append(text).append(" ".repeat(width - text.length())).append(GAP);
  }
}
