package org.persimmonloom.runtime.entry;

import dagger.Module;
import dagger.Provides;
import dagger.multibindings.ElementsIntoSet;
import dagger.multibindings.IntoSet;
import dagger.multibindings.Multibinds;
import java.util.Set;
import org.persimmonloom.runtime.caller.RoutingTable;
import org.persimmonloom.runtime.fleet.DrainProbe;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.operator.FleetRoutes;
import org.persimmonloom.runtime.operator.OperatorRoute;

/** Wires hosts, waves and moves. */
@Module
public interface FleetModule {
  /** The parts that send work to hosts; a host is idle if none is bound. */
  @Multibinds
  Set<DrainProbe> drainProbes();

  @Provides
  @IntoSet
  static DrainProbe requests(RoutingTable routing, ReplicatedState state) {
    return name ->
        state
            .read(fleet -> fleet.hosts().find(name))
            .map(host -> routing.isDrained(name, host.stateOffset()))
            .orElse(true);
  }

  @Provides
  @IntoSet
  static DrainProbe jobs(ReplicatedState state) {
    return name -> state.read(fleet -> fleet.jobs().liveAt(name).isEmpty());
  }

  @Provides
  @ElementsIntoSet
  static Set<OperatorRoute> fleetRoutes(FleetRoutes routes) {
    return routes.all();
  }
}
