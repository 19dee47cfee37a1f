package org.persimmonloom.runtime.entry;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.ElementsIntoSet;
import dagger.multibindings.Multibinds;
import java.util.Set;
import org.persimmonloom.runtime.fleet.DrainProbe;
import org.persimmonloom.runtime.operator.FleetRoutes;
import org.persimmonloom.runtime.operator.OperatorRoute;

/** Wires hosts, waves and moves. */
@Module
public interface FleetModule {
  /** The parts that send work to hosts; a host is idle if none is bound. */
  @Multibinds
  Set<DrainProbe> drainProbes();

  @Provides
  @ElementsIntoSet
  static Set<OperatorRoute> fleetRoutes(FleetRoutes routes) {
    return routes.all();
  }
}
