package org.persimmonloom.core.routing;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Learned run times per route, and per class for routes without an estimate.
 *
 * <p>Holds at most {@link #MAX_ROUTES} routes and evicts the least recently used one, so callers
 * that vary their paths can't exhaust memory. The class that a caller names is used only until the
 * first run of a route is learned. Not thread-safe. Times are in milliseconds.
 */
final class RunTimeEstimates {
  static final int MAX_ROUTES = 512;

  /**
   * Age above which an estimate is not used to refuse a request. Otherwise a route that was refused
   * for one slow run would never run again, and its estimate would never be corrected.
   */
  static final long STALE_MILLIS = 5_000;

  private final Map<String, RunTimeEstimate> routes =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunTimeEstimate> eldest) {
          return size() > MAX_ROUTES;
        }
      };
  private final Map<WorkClass, RunTimeEstimate> classes = new EnumMap<>(WorkClass.class);
  private long shortLimitMillis;

  RunTimeEstimates(long shortLimitMillis) {
    this.shortLimitMillis = shortLimitMillis;
    for (WorkClass workClass : WorkClass.values()) {
      classes.put(workClass, new RunTimeEstimate());
    }
  }

  void setShortLimitMillis(long shortLimitMillis) {
    this.shortLimitMillis = shortLimitMillis;
  }

  WorkClass classOf(String route, WorkClass hint) {
    RunTimeEstimate estimate = routes.get(route);
    if (estimate != null) {
      return estimate.workClass();
    }
    return hint == null ? WorkClass.SHORT : hint;
  }

  /**
   * Returns the typical run time of a route, or 0 if there is no recent estimate. Runs that were
   * cut off, for instance at an endpoint that never responds, give no estimate by themselves.
   */
  double typicalMillis(String route, long nowMillis) {
    RunTimeEstimate estimate = routes.get(route);
    if (estimate == null
        || !estimate.hasCompleteRun()
        || nowMillis - estimate.learnedMillis() > STALE_MILLIS) {
      return 0;
    }
    return estimate.typicalMillis();
  }

  /** Returns the mean slot time of a request of this route, to be summed over a queue. */
  double meanMillis(String route, WorkClass workClass) {
    RunTimeEstimate estimate = routes.get(route);
    return estimate == null ? meanMillis(workClass) : estimate.meanMillis();
  }

  /** Returns the mean run time over all requests of a class, or 0 before the first. */
  double meanMillis(WorkClass workClass) {
    return classes.get(workClass).meanMillis();
  }

  /**
   * Records that a request was admitted. If the estimate of its route is stale, it counts as recent
   * again, so that only one request at a time is admitted to renew it.
   */
  void recordAdmission(String route, long nowMillis) {
    RunTimeEstimate estimate = routes.get(route);
    if (estimate != null && nowMillis - estimate.learnedMillis() > STALE_MILLIS) {
      estimate.setLearnedMillis(nowMillis);
    }
  }

  /** Learns a complete run, counted under the class that the route has afterwards. */
  void learn(String route, long runMillis, long nowMillis) {
    RunTimeEstimate estimate = routes.computeIfAbsent(route, name -> new RunTimeEstimate());
    estimate.learn(runMillis, shortLimitMillis, nowMillis);
    classes.get(estimate.workClass()).learn(runMillis, shortLimitMillis, nowMillis);
  }

  /**
   * Learns from a run that was cut off. Its time is a lower bound, so it counts only if it exceeds
   * the mean, or the short limit for a route without an estimate.
   */
  void learnLowerBound(String route, long runMillis, long nowMillis) {
    RunTimeEstimate estimate = routes.get(route);
    double knownMillis = estimate == null ? shortLimitMillis : estimate.meanMillis();
    if (runMillis > knownMillis) {
      RunTimeEstimate learned = routes.computeIfAbsent(route, name -> new RunTimeEstimate());
      learned.learnLowerBound(runMillis, shortLimitMillis, nowMillis);
      classes.get(learned.workClass()).learnLowerBound(runMillis, shortLimitMillis, nowMillis);
    }
  }

  boolean hasEstimate(String route) {
    return routes.containsKey(route);
  }

  int size() {
    return routes.size();
  }
}
