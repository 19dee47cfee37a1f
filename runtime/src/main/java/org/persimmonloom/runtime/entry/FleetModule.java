package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.ElementsIntoSet;
import dagger.multibindings.IntoSet;
import dagger.multibindings.Multibinds;
import java.util.Optional;
import java.util.Set;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.runtime.caller.RoutingTable;
import org.persimmonloom.runtime.fleet.DrainProbe;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.operator.CapacityRoute;
import org.persimmonloom.runtime.operator.FleetRoutes;
import org.persimmonloom.runtime.operator.OperatorRoute;

/** Wires hosts, waves and moves. */
@Module
public interface FleetModule {
  /** The parts that send work to hosts; a host is idle if none is bound. */
  @Multibinds
  Set<DrainProbe> drainProbes();

  /** Idle once routing reflects the drain and no request is in progress at the host. */
  @Provides
  @IntoSet
  static DrainProbe requestProbe(RoutingTable routing, ReplicatedState state) {
    return host -> {
      Optional<Drain> drain =
          state.read(fleet -> fleet.hosts().find(host).map(found -> found.drain()));
      return drain.isPresent() && routing.isDrained(host, drain.get().offset());
    };
  }

  /** Idle once no attempt of a job is live at the worker; the fold places none on a drained one. */
  @Provides
  @IntoSet
  static DrainProbe jobProbe(ReplicatedState state) {
    return host -> state.read(fleet -> fleet.jobs().liveAt(host).isEmpty());
  }

  @Provides
  @ElementsIntoSet
  static Set<OperatorRoute> fleetRoutes(FleetRoutes routes) {
    return routes.all();
  }

  @Binds
  @IntoSet
  OperatorRoute capacity(CapacityRoute route);
}
