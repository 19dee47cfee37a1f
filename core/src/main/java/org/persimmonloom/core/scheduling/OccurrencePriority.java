package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Order in which waiting occurrences are placed on workers.
 *
 * <p>Occurrences with long-running tasks come first, because these must run at once. The others are
 * ordered by queue priority, then by lateness class (in time, late, missed), then by the time of
 * their completion objective. Stateless.
 */
final class OccurrencePriority {
  /** An occurrence older than this multiple of its objective is missed rather than late. */
  private static final int MISSED_FACTOR = 3;

  private OccurrencePriority() {}

  /** Sort keys of an occurrence at one time. */
  private record Ranked(
      OccurrenceState occurrence,
      int group,
      int priority,
      int lateness,
      long objectiveTimeMillis) {}

  private static final Comparator<Ranked> MOST_URGENT_FIRST =
      Comparator.comparingInt(Ranked::group)
          .thenComparingInt(Ranked::priority)
          .thenComparingInt(Ranked::lateness)
          .thenComparingLong(Ranked::objectiveTimeMillis);

  /** Returns the occurrences, most urgent first; the sort is stable. */
  static List<OccurrenceState> sorted(List<OccurrenceState> occurrences, long nowMillis) {
    List<Ranked> ranked = new ArrayList<>(occurrences.size());
    for (OccurrenceState occurrence : occurrences) {
      ranked.add(rank(occurrence, nowMillis));
    }
    ranked.sort(MOST_URGENT_FIRST);
    List<OccurrenceState> sorted = new ArrayList<>(ranked.size());
    for (Ranked entry : ranked) {
      sorted.add(entry.occurrence());
    }
    return sorted;
  }

  private static Ranked rank(OccurrenceState occurrence, long nowMillis) {
    long age = nowMillis - occurrence.submittedMillis;
    int lateness = 0;
    if (age > MISSED_FACTOR * occurrence.objectiveMillis) {
      lateness = 2;
    } else if (age > occurrence.objectiveMillis) {
      lateness = 1;
    }
    int group = occurrence.isLongRunning ? 0 : 1;
    long objectiveTimeMillis = occurrence.submittedMillis + occurrence.objectiveMillis;
    return new Ranked(
        occurrence, group, occurrence.policy.priority(), lateness, objectiveTimeMillis);
  }
}
