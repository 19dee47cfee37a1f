package org.persimmonloom.core.capacity;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;

/**
 * The moves observed to start within the last hour. The fleet state does not keep the old pool of a
 * host after its move, so each entry host records moves on its own. After a restart the history
 * contains only moves in progress; the policy then waits until demand reports cover most of the
 * window before it acts. Confined to one thread; times in milliseconds.
 */
public final class MoveHistory {
  private static final long RETENTION_MILLIS = 60 * 60_000L;

  /** Keyed by host and offset of the drain, which together identify a move. */
  private final TreeMap<String, RecentMove> movesByKey = new TreeMap<>();

  /** Adds the moves in progress among the hosts and drops those older than an hour. */
  public void observe(Collection<Host> hosts, long nowMillis) {
    for (Host host : hosts) {
      if (host.isMoving()) {
        boolean isAtStart = host.state() == HostState.DRAINING;
        long started = isAtStart ? host.stateMillis() : nowMillis;
        movesByKey.putIfAbsent(
            host.name() + '@' + host.drain().offset(),
            new RecentMove(host.name(), host.pool(), host.drain().owner(), started));
      }
    }
    movesByKey.values().removeIf(move -> nowMillis - move.startedMillis() > RETENTION_MILLIS);
  }

  /** Returns the recorded moves. */
  public List<RecentMove> moves() {
    return List.copyOf(movesByKey.values());
  }
}
