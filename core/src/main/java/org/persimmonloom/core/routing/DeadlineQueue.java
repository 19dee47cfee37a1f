package org.persimmonloom.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The queued requests of one class, ordered by deadline.
 *
 * <p>Adding and removing take logarithmic time, so a burst of thousands of cancellations costs no
 * more than the same number of requests. The work ahead of a deadline is summed over buckets of
 * deadlines; its error is at most the work of one bucket. Not thread-safe.
 */
final class DeadlineQueue {
  /**
   * Width of a bucket: small compared with deadlines of seconds, and large enough that there are
   * only tens of buckets.
   */
  private static final long BUCKET_MILLIS = 250;

  private static final Comparator<QueuedRequest> BY_DEADLINE =
      Comparator.<QueuedRequest>comparingLong(queued -> queued.request().deadlineMillis())
          .thenComparingLong(queued -> queued.request().arrivedMillis())
          .thenComparingLong(QueuedRequest::id);
  private static final Comparator<QueuedRequest> BY_LATEST_START =
      Comparator.comparingLong(QueuedRequest::latestStartMillis)
          .thenComparingLong(QueuedRequest::id);

  private final Map<Long, QueuedRequest> byId = new HashMap<>();
  private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(BY_DEADLINE);
  private final TreeSet<QueuedRequest> byLatestStart = new TreeSet<>(BY_LATEST_START);
  private final TreeMap<Long, Bucket> buckets = new TreeMap<>();

  private static final class Bucket {
    private int count;
    private double workMillis;
  }

  int size() {
    return byId.size();
  }

  boolean contains(long id) {
    return byId.containsKey(id);
  }

  void add(QueuedRequest queued) {
    byId.put(queued.id(), queued);
    byDeadline.add(queued);
    byLatestStart.add(queued);
    Bucket bucket = buckets.computeIfAbsent(bucketOf(queued), key -> new Bucket());
    bucket.count++;
    bucket.workMillis += queued.meanRunMillis();
  }

  /** Removes a request; returns null if it is not queued. */
  QueuedRequest remove(long id) {
    QueuedRequest queued = byId.remove(id);
    if (queued == null) {
      return null;
    }
    byDeadline.remove(queued);
    byLatestStart.remove(queued);
    long key = bucketOf(queued);
    Bucket bucket = buckets.get(key);
    bucket.count--;
    bucket.workMillis -= queued.meanRunMillis();
    if (bucket.count == 0) {
      buckets.remove(key);
    }
    return queued;
  }

  /** Iterates by deadline, earliest first. */
  Iterator<QueuedRequest> iterator() {
    return byDeadline.iterator();
  }

  /** Returns the expected slot time in milliseconds of the requests up to a deadline. */
  double workAheadMillis(long deadlineMillis) {
    double work = 0;
    for (Bucket bucket : buckets.headMap(bucketOf(deadlineMillis), true).values()) {
      work += bucket.workMillis;
    }
    return work;
  }

  /** Removes and returns the requests that can no longer complete by their deadline. */
  List<QueuedRequest> removeOverdue(long nowMillis) {
    List<QueuedRequest> overdue = new ArrayList<>();
    while (!byLatestStart.isEmpty() && byLatestStart.first().latestStartMillis() < nowMillis) {
      overdue.add(remove(byLatestStart.first().id()));
    }
    return overdue;
  }

  private static long bucketOf(QueuedRequest queued) {
    return bucketOf(queued.request().deadlineMillis());
  }

  private static long bucketOf(long deadlineMillis) {
    return Math.floorDiv(deadlineMillis, BUCKET_MILLIS);
  }
}
