package org.persimmonloom.core.job;

import org.persimmonloom.core.fold.FleetState;

/** Makes the maintenance outlook of one plan. Implementations are pure. */
@FunctionalInterface
public interface MaintenanceForecastSource {
  /** Returns the outlook at a moment; call it under the lock of the fold. */
  MaintenanceForecast forecast(FleetState fleet, long nowMillis);
}
