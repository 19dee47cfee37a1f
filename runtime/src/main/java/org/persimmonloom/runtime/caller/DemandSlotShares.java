package org.persimmonloom.runtime.caller;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.EndpointCapacity;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.core.routing.SlotShares;
import org.persimmonloom.runtime.peer.ClusterView;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Divides the slots by the load that the live entry hosts report in their heartbeats. A host
 * without recent heartbeats gets no share; its slots are available to the others. Safe for any
 * thread.
 */
@Singleton
public final class DemandSlotShares implements SlotShareSource {
  private static final ServiceLoad NO_LOAD = new ServiceLoad(0, 0);

  private final ClusterView cluster;
  private final EntrySettings settings;

  @Inject
  public DemandSlotShares(ClusterView cluster, EntrySettings settings) {
    this.cluster = cluster;
    this.settings = settings;
  }

  @Override
  public Map<String, Integer> shares(ServiceDefinition service, List<RoutingEndpoint> endpoints) {
    Map<String, ServiceLoad> loads = new TreeMap<>();
    loads.put(settings.name(), NO_LOAD);
    for (ClusterView.Member member : cluster.live()) {
      loads.put(member.name(), member.loads().getOrDefault(service.name(), NO_LOAD));
    }
    List<EndpointCapacity> capacities =
        endpoints.stream()
            .map(
                endpoint ->
                    new EndpointCapacity(
                        endpoint.name(),
                        service.slotsPerEndpoint(),
                        service.connectionsPerEndpoint()))
            .toList();
    return SlotShares.apportion(service.name(), capacities, loads).slotsOf(settings.name());
  }
}
