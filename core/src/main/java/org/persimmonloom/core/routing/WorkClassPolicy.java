package org.persimmonloom.core.routing;

import java.util.List;

/**
 * Decides how the two classes divide the slots of this host.
 *
 * <p>Long work holds at most half of the slots, and one slot is its own while it waits: below that
 * it goes before short work, so neither class starves. A host with a single slot can't set one
 * aside; there the classes take turns by the slot time they used. Not thread-safe.
 */
final class WorkClassPolicy {
  /** Older use is halved at this sum, so that turns follow the recent load. */
  private static final double DECAY_THRESHOLD_MILLIS = 60_000;

  private static final List<WorkClass> SHORT_ONLY = List.of(WorkClass.SHORT);
  private static final List<WorkClass> SHORT_FIRST = List.of(WorkClass.SHORT, WorkClass.LONG);
  private static final List<WorkClass> LONG_FIRST = List.of(WorkClass.LONG, WorkClass.SHORT);

  private double shortSlotMillis;
  private double longSlotMillis;

  /** Returns the slots that long work may hold of {@code totalSlots}. */
  static int longLimit(int totalSlots) {
    return Math.max(1, totalSlots / 2);
  }

  /** Returns the classes that may get a slot now, the one to serve first at the front. */
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
