package org.persimmonloom.runtime.entry;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.ElementsIntoSet;
import java.util.Set;
import org.persimmonloom.core.job.MaintenanceForecastSource;
import org.persimmonloom.core.maintenance.DrainForecast;
import org.persimmonloom.runtime.operator.JobRoutes;
import org.persimmonloom.runtime.operator.OperatorRoute;

/** Provides the operators' paths for jobs and what placement knows of maintenance. */
@Module
public interface JobModule {
  @Provides
  @ElementsIntoSet
  static Set<OperatorRoute> jobRoutes(JobRoutes routes) {
    return routes.all();
  }

  @Provides
  static MaintenanceForecastSource outlooks() {
    return (fleet, nowMillis) -> DrainForecast.of(fleet.waves(), fleet.budgets(), nowMillis);
  }
}
