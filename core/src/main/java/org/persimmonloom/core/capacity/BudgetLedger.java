package org.persimmonloom.core.capacity;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.host.HostState;

/**
 * The room that is left in the budgets while a plan is made. A move takes a place in each budget of
 * its old pool from the start of the drain, and one in each budget of the new pool when the host
 * joins in probation; hosts on their way already hold a place there. Confined to one thread.
 */
final class BudgetLedger {
  private final Map<String, Map<DomainRoom, Integer>> left = new HashMap<>();
  private final Map<String, List<DomainRoom>> rooms = new HashMap<>();

  BudgetLedger(List<PoolView> pools) {
    for (PoolView pool : pools) {
      Map<DomainRoom, Integer> byRoom = new HashMap<>();
      pool.rooms().forEach(room -> byRoom.put(room, room.room()));
      left.put(pool.name(), byRoom);
      rooms.put(pool.name(), pool.rooms());
    }
    for (PoolView pool : pools) {
      pool.hosts().stream()
          .filter(HostView::isLeaving)
          .filter(host -> rooms.containsKey(host.movingTo()))
          .forEach(host -> take(host.movingTo(), host));
    }
  }

  /** Returns how many hosts like this one may still become unavailable in the pool. */
  int room(String pool, HostView host) {
    return rooms.get(pool).stream()
        .filter(room -> room.covers(host.rack(), host.dataCentre()))
        .mapToInt(room -> left.get(pool).get(room))
        .min()
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns whether the budgets of both pools have room for this move. */
  boolean allows(HostView host, String fromPool, String toPool) {
    boolean isDrainAllowed = host.state() != HostState.AVAILABLE || room(fromPool, host) > 0;
    return isDrainAllowed && room(toPool, host) > 0;
  }

  void takeMove(HostView host, String fromPool, String toPool) {
    take(fromPool, host);
    take(toPool, host);
  }

  private void take(String pool, HostView host) {
    rooms.get(pool).stream()
        .filter(room -> room.covers(host.rack(), host.dataCentre()))
        .forEach(room -> left.get(pool).merge(room, -1, Integer::sum));
  }
}
