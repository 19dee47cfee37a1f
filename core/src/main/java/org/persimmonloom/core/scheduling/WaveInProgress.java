package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * A maintenance wave: the hosts it has cordoned, those that are down, and those that have begun.
 * Not thread-safe.
 */
final class WaveInProgress {
  /** Longer than a host is down, for one whose time down fell between two lists, in ms. */
  private static final long RETURN_TIMEOUT_MILLIS = 10_000;

  final WaveOrder order;

  /** Cordoned hosts, by the time since when. */
  final Map<String, Long> cordoned = new HashMap<>();

  private final Map<String, DownHost> down = new HashMap<>();
  private WaveProgress progress;
  private boolean isDirty = true;

  WaveInProgress(WaveOrder order, WaveProgress progress) {
    this.order = order;
    this.progress = progress;
  }

  /** A host that was ordered down. */
  private static final class DownHost {
    /** The worker that the host had; empty if it was switched off. */
    private final String worker;

    private final long orderedMillis;

    /** Whether the platform's list has shown the host down since. */
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

  /** Returns whether the wave still has to take the host down. */
  boolean isPending(String machine) {
    return !progress.isComplete()
        && order.machines().contains(machine)
        && !progress.begun().contains(machine);
  }

  /**
   * Returns how many hosts of the wave are down or about to go down, also those that an earlier
   * owner took down and that only the platform's list shows.
   */
  int unavailableCount(Map<String, MachineFacts> machines) {
    Set<String> busy = new HashSet<>(cordoned.keySet());
    busy.addAll(down.keySet());
    for (String machine : order.machines()) {
      MachineFacts facts = machines.get(machine);
      if (facts != null && facts.state() == MachineFacts.State.IN_MAINTENANCE) {
        busy.add(machine);
      }
    }
    return busy.size();
  }

  /** Forgets hosts that are back, and returns them. */
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

  /** Notes that a host goes down. */
  void markBegun(String machine, String worker, long nowMillis) {
    cordoned.remove(machine);
    down.put(machine, new DownHost(worker, nowMillis));
    progress = progress.with(Set.of(machine), false);
    isDirty = true;
  }

  /** Ends the wave if every host that still exists has begun. */
  void completeIfAllBegun(Set<String> existing) {
    Set<String> left = new HashSet<>(order.machines());
    left.retainAll(existing);
    left.removeAll(progress.begun());
    if (left.isEmpty() && !existing.isEmpty()) {
      progress = progress.with(Set.of(), true);
      isDirty = true;
    }
  }

  /** Returns whether the progress has changed since the last call. */
  boolean getAndClearDirty() {
    boolean wasDirty = isDirty;
    isDirty = false;
    return wasDirty;
  }
}
