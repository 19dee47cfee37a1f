package org.persimmonloom.core.scheduling;

import java.util.Comparator;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * The order in which waiting occurrences get workers.
 *
 * <p>Tasks that last come first, because they are owed at once. Then priority counts, then whether
 * the occurrence can still end in time, then the time left until its objective. Stateless.
 */
final class QueueOrder {
  /** Beyond this multiple of its objective an occurrence no longer counts as late but as missed. */
  private static final int LATE_FACTOR = 3;

  private QueueOrder() {}

  /** Rank of an occurrence at one moment. */
  private record Rank(int group, int priority, int lateness, long dueMillis) {}

  static Comparator<OccurrenceState> at(long nowMillis, TaskBook book) {
    return Comparator.comparing(
        (OccurrenceState occurrence) -> rank(occurrence, nowMillis, book),
        Comparator.comparingInt(Rank::group)
            .thenComparingInt(Rank::priority)
            .thenComparingInt(Rank::lateness)
            .thenComparingLong(Rank::dueMillis));
  }

  private static Rank rank(OccurrenceState occurrence, long nowMillis, TaskBook book) {
    QueuePolicy policy = book.policy(occurrence.spec);
    long age = nowMillis - occurrence.submittedMillis;
    int lateness = 0;
    if (age > LATE_FACTOR * occurrence.objectiveMillis) {
      lateness = 2;
    } else if (age > occurrence.objectiveMillis) {
      lateness = 1;
    }
    int group = occurrence.spec.isLongRunning() ? 0 : 1;
    long due = occurrence.submittedMillis + occurrence.objectiveMillis;
    return new Rank(group, policy.priority(), lateness, due);
  }
}
