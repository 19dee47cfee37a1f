package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * State of a maintenance wave: hosts that are cordoned, that are down, and whose maintenance has
 * begun. Not thread-safe.
 */
final class WaveInProgress {
  /**
   * A host that is up this long after its order has returned, in ms. It exceeds the downtime of a
   * host and covers one whose downtime fell between two host lists.
   */
  private static final long RETURN_TIMEOUT_MILLIS = 10_000;

  final WaveOrder order;

  /** Time at which each cordoned host was cordoned. */
  final Map<String, Long> cordoned = new HashMap<>();

  private final Map<String, DownHost> down = new HashMap<>();
  private WaveProgress progress;
  private boolean isDirty = true;

  WaveInProgress(WaveOrder order, WaveProgress progress) {
    this.order = order;
    this.progress = progress;
  }

  /** A host that was ordered to be taken down. */
  private static final class DownHost {
    /** The worker before the order; empty if the host was switched off. */
    private final String worker;

    private final long orderedMillis;

    /** Whether a host list since the order has shown the host not up. */
    private boolean wasSeenDown;

    private DownHost(String worker, long orderedMillis) {
      this.worker = worker;
      this.orderedMillis = orderedMillis;
    }

    private boolean hasReturned(MachineFacts facts, long nowMillis) {
      if (facts.state() != MachineFacts.State.UP) {
        wasSeenDown = true;
        return false;
      }
      return wasSeenDown
          || !facts.worker().equals(worker)
          || nowMillis - orderedMillis > RETURN_TIMEOUT_MILLIS;
    }
  }

  WaveProgress progress() {
    return progress;
  }

  Set<String> down() {
    return down.keySet();
  }

  boolean isCordonedOrDown(String machine) {
    return cordoned.containsKey(machine) || down.containsKey(machine);
  }

  /** Returns whether the wave has yet to take the host down. */
  boolean isPending(String machine) {
    return !progress.isComplete()
        && order.machines().contains(machine)
        && !progress.begun().contains(machine);
  }

  /**
   * Returns how many hosts of the wave are cordoned or down, including hosts that an earlier owner
   * took down and that only the platform's host list shows.
   */
  int unavailableCount(Map<String, MachineFacts> machines) {
    Set<String> unavailable = new HashSet<>(cordoned.keySet());
    unavailable.addAll(down.keySet());
    for (String machine : order.machines()) {
      MachineFacts facts = machines.get(machine);
      if (facts != null && facts.state() == MachineFacts.State.IN_MAINTENANCE) {
        unavailable.add(machine);
      }
    }
    return unavailable.size();
  }

  /** Removes hosts that have returned from maintenance or no longer exist, and returns them. */
  Set<String> removeReturned(Map<String, MachineFacts> machines, long nowMillis) {
    Set<String> returned = new HashSet<>();
    for (Map.Entry<String, DownHost> entry : down.entrySet()) {
      MachineFacts facts = machines.get(entry.getKey());
      if (facts == null || entry.getValue().hasReturned(facts, nowMillis)) {
        returned.add(entry.getKey());
      }
    }
    down.keySet().removeAll(returned);
    return returned;
  }

  /** Records that the maintenance of a host has begun. */
  void markBegun(String machine, String worker, long nowMillis) {
    cordoned.remove(machine);
    down.put(machine, new DownHost(worker, nowMillis));
    progress = progress.with(Set.of(machine), false);
    isDirty = true;
  }

  /** Completes the wave if maintenance has begun on all of its hosts that still exist. */
  void completeIfAllBegun(Set<String> existing) {
    Set<String> notBegun = new HashSet<>(order.machines());
    notBegun.retainAll(existing);
    notBegun.removeAll(progress.begun());
    if (notBegun.isEmpty() && !existing.isEmpty()) {
      progress = progress.with(Set.of(), true);
      isDirty = true;
    }
  }

  /** Returns whether the progress has changed since the previous call. */
  boolean getAndClearDirty() {
    boolean wasDirty = isDirty;
    isDirty = false;
    return wasDirty;
  }
}
