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
 * Chooses which heartbeats of third hosts go along with the own one to a peer of a sparse mesh. A
 * few are sent at a time, to bound the bytes; they are those that tell the peer most: of hosts that
 * the peer has no connection to by the plan, with the longest time between what was last relayed to
 * that peer and what is known now. Confined to one thread or guarded by its owner's lock.
 */
public final class RelayPlan {
  /**
   * With one relayed heartbeat for so many hosts, what a host knows of another one stays younger
   * than {@link PeerView#RELAYED_SUSPECT_AFTER_MILLIS}.
   */
  private static final int HOSTS_PER_RELAY = 12;

  private Set<String> names = Set.of();
  private final Map<String, Set<String>> links = new HashMap<>();
  private final Map<String, Map<String, Long>> relayed = new HashMap<>();

  /** Replaces the names of the registered hosts. */
  public void setNames(Collection<String> newNames) {
    Set<String> sorted = new TreeSet<>(newNames);
    if (sorted.equals(names)) {
      return;
    }
    names = sorted;
    links.clear();
    relayed.keySet().retainAll(sorted);
    relayed.values().forEach(times -> times.keySet().retainAll(sorted));
    if (MeshPlan.isFullMesh(sorted.size())) {
      return;
    }
    for (String name : sorted) {
      for (String peer : MeshPlan.peersOf(name, sorted)) {
        links.computeIfAbsent(name, unused -> new HashSet<>()).add(peer);
        links.computeIfAbsent(peer, unused -> new HashSet<>()).add(name);
      }
    }
  }

  /** Returns the heartbeats to relay to the peer now; none in a full mesh. */
  public List<PeerView.Heard> choose(String peer, PeerView view, long nowMillis) {
    if (MeshPlan.isFullMesh(names.size())) {
      return List.of();
    }
    Set<String> known = links.getOrDefault(peer, Set.of());
    Map<String, Long> times = relayed.computeIfAbsent(peer, unused -> new HashMap<>());
    List<PeerView.Heard> chosen =
        view.all().stream()
            .filter(heard -> !heard.heartbeat().name().equals(peer))
            .filter(heard -> !known.contains(heard.heartbeat().name()))
            .filter(heard -> heard.heardMillis() <= nowMillis)
            .filter(heard -> nowMillis - heard.heardMillis() < PeerView.LOST_AFTER_MILLIS)
            .sorted(Comparator.comparingLong(heard -> -gainMillis(heard, times)))
            .limit((names.size() + HOSTS_PER_RELAY - 1) / HOSTS_PER_RELAY)
            .toList();
    chosen.forEach(heard -> times.put(heard.heartbeat().name(), heard.heardMillis()));
    return chosen;
  }

  private static long gainMillis(PeerView.Heard heard, Map<String, Long> times) {
    return heard.heardMillis() - times.getOrDefault(heard.heartbeat().name(), 0L);
  }
}
