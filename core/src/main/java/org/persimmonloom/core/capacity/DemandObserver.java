package org.persimmonloom.core.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Turns readings of demand, taken from time to time, into forecasts by pool.
 *
 * <p>A reading stands for the time since the one before it, at most {@link #MAX_REACH_MILLIS}. What
 * lies further back, and any reading without the pool, stays unknown and lowers the coverage of the
 * forecast; it never counts as demand of zero. Confined to one thread; times in milliseconds.
 */
public final class DemandObserver {
  /** A reading says little of the demand longer ago than a few heartbeats of entry hosts. */
  static final long MAX_REACH_MILLIS = 5_000;

  private final CapacitySettings settings;
  private final DemandForecaster forecaster;
  private final Map<String, DemandHistory> histories = new HashMap<>();
  private long lastMillis = Long.MIN_VALUE;

  /** Creates an observer that has seen nothing. */
  public DemandObserver(CapacitySettings settings) {
    this.settings = settings;
    this.forecaster = new DemandForecaster(settings);
  }

  /**
   * Takes in a reading of the slots asked, by pool. A reading that is not later than the last one
   * is ignored, as after a clock that was set back.
   */
  public void observe(Map<String, Double> slots, long nowMillis) {
    if (nowMillis <= lastMillis) {
      return;
    }
    long from = Math.max(lastMillis, nowMillis - MAX_REACH_MILLIS);
    slots.forEach(
        (pool, value) ->
            histories
                .computeIfAbsent(pool, unused -> new DemandHistory(settings.windowMillis()))
                .add(new DemandSample(from, nowMillis, value), nowMillis));
    lastMillis = nowMillis;
  }

  /** Returns the forecast of each pool that was ever read. */
  public Map<String, DemandForecast> forecasts(long nowMillis) {
    Map<String, DemandForecast> forecasts = new TreeMap<>();
    histories.forEach(
        (pool, history) -> forecasts.put(pool, forecaster.forecast(history.samples(), nowMillis)));
    return forecasts;
  }
}
