package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Chooses the heartbeats of other hosts that are relayed to a peer of a sparse mesh together with
 * this host's own heartbeat. Only a few are relayed at a time, to limit the number of bytes. They
 * belong to hosts that are not connected to the peer according to {@link MeshPlan}; those with the
 * longest time between the heartbeat last relayed to the peer and the latest known heartbeat come
 * first. Confined to one thread or guarded by its owner's lock.
 */
public final class RelayPlan {
  /**
   * Number of hosts for each heartbeat that is relayed at a time. With this ratio, the heartbeats
   * that a host has of the others stay younger than {@link PeerView#RELAYED_SUSPECT_AFTER_MILLIS}.
   */
  private static final int HOSTS_PER_RELAYED_HEARTBEAT = 12;

  private Set<String> names = Set.of();
  private final Map<String, Set<String>> connectedHosts = new HashMap<>();
  private final Map<String, Map<String, Long>> relayedMillisByPeer = new HashMap<>();

  /** Replaces the names of the registered hosts. */
  public void setNames(Collection<String> newNames) {
    Set<String> sorted = new TreeSet<>(newNames);
    if (sorted.equals(names)) {
      return;
    }
    names = sorted;
    connectedHosts.clear();
    relayedMillisByPeer.keySet().retainAll(sorted);
    relayedMillisByPeer.values().forEach(relayedMillis -> relayedMillis.keySet().retainAll(sorted));
    if (MeshPlan.isFullMesh(sorted.size())) {
      return;
    }
    for (String name : sorted) {
      for (String peer : MeshPlan.peersOf(name, sorted)) {
        connectedHosts.computeIfAbsent(name, unused -> new HashSet<>()).add(peer);
        connectedHosts.computeIfAbsent(peer, unused -> new HashSet<>()).add(name);
      }
    }
  }

  /**
   * Returns the heartbeats to relay to the peer now, and records them as relayed; empty in a full
   * mesh.
   */
  public List<PeerView.ReceivedHeartbeat> choose(String peer, PeerView view, long nowMillis) {
    if (MeshPlan.isFullMesh(names.size())) {
      return List.of();
    }
    Set<String> connected = connectedHosts.getOrDefault(peer, Set.of());
    Map<String, Long> relayedMillis =
        relayedMillisByPeer.computeIfAbsent(peer, unused -> new HashMap<>());
    List<PeerView.ReceivedHeartbeat> chosen =
        view.heartbeats().stream()
            .filter(received -> !received.heartbeat().name().equals(peer))
            .filter(received -> !connected.contains(received.heartbeat().name()))
            .filter(received -> received.aliveMillis() <= nowMillis)
            .filter(received -> nowMillis - received.aliveMillis() < PeerView.LOST_AFTER_MILLIS)
            .sorted(Comparator.comparingLong(received -> -gainMillis(received, relayedMillis)))
            .limit((names.size() + HOSTS_PER_RELAYED_HEARTBEAT - 1) / HOSTS_PER_RELAYED_HEARTBEAT)
            .toList();
    chosen.forEach(
        received -> relayedMillis.put(received.heartbeat().name(), received.aliveMillis()));
    return chosen;
  }

  private static long gainMillis(
      PeerView.ReceivedHeartbeat received, Map<String, Long> relayedMillis) {
    return received.aliveMillis() - relayedMillis.getOrDefault(received.heartbeat().name(), 0L);
  }
}
