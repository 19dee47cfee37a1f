package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Lazy;
import dagger.Module;
import dagger.Provides;
import java.util.List;
import org.persimmonloom.core.routing.RequestSchedulerFactory;
import org.persimmonloom.core.routing.RoutingLimits;
import org.persimmonloom.core.routing.ServiceScheduler;
import org.persimmonloom.runtime.caller.AdmissionCheck;
import org.persimmonloom.runtime.caller.DemandSlotShares;
import org.persimmonloom.runtime.caller.LeavingHosts;
import org.persimmonloom.runtime.caller.RoutingTable;
import org.persimmonloom.runtime.caller.SlotShareSource;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.endpoint.EndpointSender;
import org.persimmonloom.runtime.peer.LeavingSource;
import org.persimmonloom.runtime.peer.LoadSource;

/** Provides what the request path needs from the other parts of the entry host. */
@Module
public interface RequestModule {
  @Binds
  EndpointSender sender(EndpointClient client);

  @Binds
  SlotShareSource slotShares(DemandSlotShares shares);

  @Provides
  static RequestSchedulerFactory schedulers() {
    return service -> new ServiceScheduler(RoutingLimits.of(service));
  }

  @Provides
  static AdmissionCheck admission(HostReadiness readiness) {
    return readiness::reasonRefused;
  }

  /** Lazy, because routing itself reads the loads of the other hosts. */
  @Provides
  static LoadSource loadSource(Lazy<RoutingTable> routing) {
    return () -> routing.get().loads();
  }

  @Provides
  static LeavingSource leavingSource(LeavingHosts leaving) {
    return new LeavingSource() {
      @Override
      public List<String> leaving() {
        return List.copyOf(leaving.hostsToReport());
      }

      @Override
      public List<String> drained() {
        return List.of();
      }
    };
  }
}
