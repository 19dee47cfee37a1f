package org.persimmonloom.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Attempts of this host that are in progress, counted by endpoint and by class.
 *
 * <p>A request of the short class that exceeds the short limit counts as long from then on, so that
 * a route without a learned run time can't occupy every slot. Not thread-safe.
 */
final class SlotUse {
  private final Map<Long, Attempt> attempts = new HashMap<>();

  /** Attempts that count as short, ordered by start time. */
  private final Map<Long, Attempt> shortAttempts = new LinkedHashMap<>();

  private final Map<String, Integer> byEndpoint = new HashMap<>();

  /** An attempt in progress. */
  record Attempt(Assignment assignment, String route, long startedMillis) {}

  void start(Attempt attempt) {
    long id = attempt.assignment().requestId();
    attempts.put(id, attempt);
    if (attempt.assignment().workClass() == WorkClass.SHORT) {
      shortAttempts.put(id, attempt);
    }
    byEndpoint.merge(attempt.assignment().endpoint().name(), 1, Integer::sum);
  }

  /** Ends an attempt; returns null if it is not in progress. */
  Attempt end(Assignment assignment) {
    Attempt attempt = attempts.get(assignment.requestId());
    if (attempt == null || !attempt.assignment().equals(assignment)) {
      return null;
    }
    attempts.remove(assignment.requestId());
    shortAttempts.remove(assignment.requestId());
    byEndpoint.computeIfPresent(
        assignment.endpoint().name(), (name, count) -> count == 1 ? null : count - 1);
    return attempt;
  }

  /** Reclassifies attempts that have run longer than the short limit as long, and returns them. */
  List<Attempt> reclassifyOverruns(long shortLimitMillis, long nowMillis) {
    List<Attempt> overruns = new ArrayList<>();
    var oldest = shortAttempts.values().iterator();
    while (oldest.hasNext()) {
      Attempt attempt = oldest.next();
      if (nowMillis - attempt.startedMillis() <= shortLimitMillis) {
        break;
      }
      oldest.remove();
      overruns.add(attempt);
    }
    return overruns;
  }

  boolean contains(long requestId) {
    return attempts.containsKey(requestId);
  }

  int inProgressAt(String endpoint) {
    return byEndpoint.getOrDefault(endpoint, 0);
  }

  int totalInProgress() {
    return attempts.size();
  }

  int longInProgress() {
    return attempts.size() - shortAttempts.size();
  }
}
