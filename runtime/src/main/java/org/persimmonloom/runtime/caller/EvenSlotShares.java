package org.persimmonloom.runtime.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * Gives each live entry host an equal share. Slots that are left over go to consecutive hosts from
 * a position that depends on the endpoint, so that the shares of an endpoint add up to its slots.
 */
public final class EvenSlotShares implements SlotShares {
  private final ReplicatedState state;
  private final String self;

  /** Creates the shares of the entry host {@code self}. */
  public EvenSlotShares(ReplicatedState state, String self) {
    this.state = state;
    this.self = self;
  }

  @Override
  public Map<String, Integer> shares(ServiceDefinition service, List<RoutingEndpoint> endpoints) {
    List<String> live =
        state.read(fleet -> fleet.entryHosts().live().stream().map(EntryHost::name).toList());
    int members = Math.max(1, live.size());
    int self = Math.max(0, live.indexOf(this.self));
    Map<String, Integer> shares = new HashMap<>();
    for (RoutingEndpoint endpoint : endpoints) {
      long hash = LongHashFunction.xx().hashChars(endpoint.name());
      int distance = Math.floorMod(self - (int) Math.floorMod(hash, (long) members), members);
      int extra = distance < service.slotsPerEndpoint() % members ? 1 : 0;
      shares.put(endpoint.name(), service.slotsPerEndpoint() / members + extra);
    }
    return shares;
  }
}
