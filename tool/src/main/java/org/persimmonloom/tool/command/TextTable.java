package org.persimmonloom.tool.command;

import java.util.ArrayList;
import java.util.List;

/** Formats rows as columns that are as wide as their widest cell. Not safe for several threads. */
final class TextTable {
  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with these headings. */
  TextTable(String... headings) {
    rows.add(List.of(headings));
  }

  /** Adds a row with one value for each heading. */
  void add(Object... values) {
    List<String> row = new ArrayList<>();
    for (Object value : values) {
      row.add(String.valueOf(value));
    }
    rows.add(row);
  }

  @Override
  public String toString() {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int column = 0; column < columns; column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    List<String> lines = new ArrayList<>();
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < columns; column++) {
        String cell = row.get(column);
        line.append(cell).append(" ".repeat(widths[column] - cell.length() + 2));
      }
      lines.add(line.toString().stripTrailing());
    }
    return String.join("\n", lines);
  }
}
