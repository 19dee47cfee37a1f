package org.persimmonloom.tool.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/** A simulated pool with the queue of its service. */
final class SimPool {
  final String name;
  final HostKind kind;
  final int service;
  final boolean isSpare;
  final int slotsPerHost;
  final List<SimHost> hosts = new ArrayList<>();
  final Deque<Work> shortQueue = new ArrayDeque<>();
  final Deque<Work> longQueue = new ArrayDeque<>();

  /** Slots of this pool that hold long work of any service. */
  int longRunning;

  SimPool(String name, HostKind kind, int service, boolean isSpare) {
    this.name = name;
    this.kind = kind;
    this.service = service;
    this.isSpare = isSpare;
    this.slotsPerHost =
        kind == HostKind.EXECUTOR ? FleetSizes.EXECUTOR_SLOTS : FleetSizes.WORKER_SLOTS;
  }

  int count(HostState state) {
    int count = 0;
    for (SimHost host : hosts) {
      if (host.state == state) {
        count++;
      }
    }
    return count;
  }

  int unavailable() {
    return hosts.size() - count(HostState.AVAILABLE);
  }

  double longShare() {
    int slots = count(HostState.AVAILABLE) * slotsPerHost;
    return slots == 0 ? 0 : Math.min(1, longRunning / (double) slots);
  }

  /** Returns whether another piece of long work may start; at most half of the slots are for it. */
  boolean isLongAllowed() {
    int slots = count(HostState.AVAILABLE) * slotsPerHost;
    return kind == HostKind.WORKER || longRunning < Math.max(1, slots / 2);
  }

  /** Returns the host with the most free slots among the first available ones, or null. */
  SimHost freeHost(int first) {
    SimHost best = null;
    int seen = 0;
    for (SimHost host : hosts) {
      if (host.state == HostState.AVAILABLE
          && seen++ < first
          && host.freeSlots() > 0
          && (best == null || host.freeSlots() > best.freeSlots())) {
        best = host;
      }
    }
    return best;
  }

  void sortHosts() {
    hosts.sort(Comparator.comparing(host -> host.name));
  }
}
