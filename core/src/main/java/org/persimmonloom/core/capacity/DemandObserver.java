package org.persimmonloom.core.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Builds demand forecasts by pool from periodic readings of the demand.
 *
 * <p>A reading covers the time since the previous one, at most {@link #MAX_INTERVAL_MILLIS}.
 * Earlier time, and any reading that lacks the pool, stays unknown and lowers the coverage of the
 * forecast; it never counts as demand of zero. Confined to one thread; times in milliseconds.
 */
public final class DemandObserver {
  /** A reading reflects the demand of the last few heartbeats of the entry hosts only. */
  static final long MAX_INTERVAL_MILLIS = 5_000;

  private final CapacitySettings settings;
  private final DemandForecaster forecaster;
  private final Map<String, DemandHistory> histories = new HashMap<>();
  private long lastReadingMillis = Long.MIN_VALUE;

  /** Creates an observer without readings. */
  public DemandObserver(CapacitySettings settings) {
    this.settings = settings;
    this.forecaster = new DemandForecaster(settings);
  }

  /**
   * Records the slots demanded by each pool. A reading that is not later than the last one is
   * ignored; this happens after the clock was set back.
   */
  public void observe(Map<String, Double> slotsByPool, long nowMillis) {
    if (nowMillis <= lastReadingMillis) {
      return;
    }
    long from = Math.max(lastReadingMillis, nowMillis - MAX_INTERVAL_MILLIS);
    slotsByPool.forEach(
        (pool, slots) ->
            histories
                .computeIfAbsent(pool, unused -> new DemandHistory(settings.windowMillis()))
                .add(new DemandSample(from, nowMillis, slots), nowMillis));
    lastReadingMillis = nowMillis;
  }

  /** Returns the forecast of each pool that has had a reading. */
  public Map<String, DemandForecast> forecasts(long nowMillis) {
    Map<String, DemandForecast> forecasts = new TreeMap<>();
    histories.forEach(
        (pool, history) -> forecasts.put(pool, forecaster.forecast(history.samples(), nowMillis)));
    return forecasts;
  }
}
