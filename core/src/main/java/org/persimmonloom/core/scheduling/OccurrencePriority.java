package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The order in which waiting occurrences get workers.
 *
 * <p>Tasks that last come first, because they are owed at once. Then priority counts, then whether
 * the occurrence can still end in time, then the time left until its objective. Stateless.
 */
final class OccurrencePriority {
  /** Beyond this multiple of its objective an occurrence no longer counts as late but as missed. */
  private static final int MISSED_FACTOR = 3;

  private OccurrencePriority() {}

  /** Rank of an occurrence at one moment. */
  private record Ranked(
      OccurrenceState occurrence, int group, int priority, int lateness, long dueMillis) {}

  private static final Comparator<Ranked> MOST_URGENT_FIRST =
      Comparator.comparingInt(Ranked::group)
          .thenComparingInt(Ranked::priority)
          .thenComparingInt(Ranked::lateness)
          .thenComparingLong(Ranked::dueMillis);

  /** Returns the occurrences, the most urgent first; equally urgent ones keep their order. */
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
    long due = occurrence.submittedMillis + occurrence.objectiveMillis;
    return new Ranked(occurrence, group, occurrence.policy.priority(), lateness, due);
  }
}
