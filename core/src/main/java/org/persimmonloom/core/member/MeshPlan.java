package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.List;

/**
 * Chooses the peers that an entry host connects to. In a small fleet these are all peers, so that
 * heartbeats arrive directly; in a larger one their number is about the binary logarithm of the
 * number of hosts, because the cost of a full mesh per host grows with the fleet. Stateless.
 */
public final class MeshPlan {
  /** The largest fleet that forms a full mesh. */
  public static final int FULL_MESH_HOSTS = 8;

  private MeshPlan() {}

  /** Returns whether a fleet of this many hosts forms a full mesh. */
  public static boolean isFullMesh(int hosts) {
    return hosts <= FULL_MESH_HOSTS;
  }

  /** Returns the peers that {@code self} connects to, selected from the names of all hosts. */
  public static List<String> peersOf(String self, Collection<String> names) {
    List<String> others = names.stream().filter(name -> !name.equals(self)).distinct().toList();
    int hosts = others.size() + 1;
    List<String> order = RendezvousOrder.of(others, self);
    if (isFullMesh(hosts)) {
      return order;
    }
    int logarithm = 32 - Integer.numberOfLeadingZeros(hosts - 1);
    return order.subList(0, Math.min(order.size(), logarithm + 1));
  }
}
