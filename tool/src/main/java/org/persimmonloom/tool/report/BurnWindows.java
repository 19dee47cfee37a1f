package org.persimmonloom.tool.report;

/**
 * The pair of windows over which burn rates are computed. The long window shows that much was
 * spent, the short one that it is still being spent.
 */
public record BurnWindows(long shortMillis, long longMillis) {
  /** Five minutes and one hour. */
  public static final BurnWindows DEFAULT = new BurnWindows(300_000, 3_600_000);
}
