package org.persimmonloom.core.job;

import org.persimmonloom.core.fold.FleetState;

/** Creates the maintenance forecast for one planning run. Implementations are pure. */
@FunctionalInterface
public interface MaintenanceForecastSource {
  /** Returns the forecast as of {@code nowMillis}. The caller must hold the lock of the fold. */
  MaintenanceForecast forecast(FleetState fleet, long nowMillis);
}
