package org.persimmonloom.tool.measure;

import java.util.HashSet;
import java.util.Set;
import org.persimmonloom.core.capacity.HostView;
import org.persimmonloom.core.host.HostState;

/** A simulated host. */
final class SimHost {
  /** Why a host is out of service. */
  enum Purpose {
    NONE,
    MAINTENANCE,
    MOVE
  }

  final String name;
  final String rack;
  final String dataCentre;
  SimPool pool;
  HostState state = HostState.AVAILABLE;
  long stateMillis;
  Purpose purpose = Purpose.NONE;
  SimPool target;
  boolean awaitsMaintenance;

  /** Time at which a lost host returns. */
  long lostUntil;

  final Set<Work> running = new HashSet<>();

  SimHost(String name, String rack, String dataCentre, SimPool pool) {
    this.name = name;
    this.rack = rack;
    this.dataCentre = dataCentre;
    this.pool = pool;
  }

  void enter(HostState next, long nowMillis) {
    state = next;
    stateMillis = nowMillis;
  }

  int freeSlots() {
    return state == HostState.AVAILABLE ? pool.slotsPerHost - running.size() : 0;
  }

  HostView view(boolean isMissing) {
    return new HostView(
        name,
        rack,
        dataCentre,
        isMissing ? HostState.LOST : state,
        target == null ? "" : target.name,
        awaitsMaintenance,
        stateMillis,
        running.size());
  }
}
