package org.persimmonloom.core.routing;

import java.util.List;

/**
 * Divides the slots of this host between short and long work.
 *
 * <p>Long work uses at most half of the slots. If long requests are queued and none is in progress,
 * the next slot goes to long work, so neither class starves. A host with a single slot can't
 * reserve one for long work; there the class that has used less slot time goes first. Not
 * thread-safe.
 */
final class WorkClassPolicy {
  /**
   * Both sums of slot time are halved when their total exceeds this value, so that recent load
   * dominates.
   */
  private static final double DECAY_THRESHOLD_MILLIS = 60_000;

  private static final List<WorkClass> SHORT_ONLY = List.of(WorkClass.SHORT);
  private static final List<WorkClass> SHORT_FIRST = List.of(WorkClass.SHORT, WorkClass.LONG);
  private static final List<WorkClass> LONG_FIRST = List.of(WorkClass.LONG, WorkClass.SHORT);

  private double shortSlotMillis;
  private double longSlotMillis;

  /** Returns how many of {@code totalSlots} long work may use at once. */
  static int longLimit(int totalSlots) {
    return Math.max(1, totalSlots / 2);
  }

  /** Returns the classes that may get a slot now, the preferred one first. */
  List<WorkClass> classOrder(int totalSlots, int longInProgress) {
    if (longInProgress >= longLimit(totalSlots)) {
      return SHORT_ONLY;
    }
    boolean isLongTurn = totalSlots > 1 || longSlotMillis <= shortSlotMillis;
    return longInProgress == 0 && isLongTurn ? LONG_FIRST : SHORT_FIRST;
  }

  void recordUse(WorkClass workClass, long runMillis) {
    if (workClass == WorkClass.LONG) {
      longSlotMillis += runMillis;
    } else {
      shortSlotMillis += runMillis;
    }
    if (shortSlotMillis + longSlotMillis > DECAY_THRESHOLD_MILLIS) {
      shortSlotMillis /= 2;
      longSlotMillis /= 2;
    }
  }
}
