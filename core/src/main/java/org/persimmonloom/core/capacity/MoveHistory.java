package org.persimmonloom.core.capacity;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;

/**
 * The moves that were seen to start within the last hour. The fleet state forgets the old pool of a
 * host once it has moved, so each observer keeps its own record. After a restart it knows the moves
 * in progress only; the policy then waits for most of a window of demand before it acts. Confined
 * to one thread; times in milliseconds.
 */
public final class MoveHistory {
  private static final long KEEP_MILLIS = 60 * 60_000L;

  /** By host and offset of the drain, which identifies a move. */
  private final TreeMap<String, RecentMove> moves = new TreeMap<>();

  /** Takes in the hosts as they are now. */
  public void observe(Collection<Host> hosts, long nowMillis) {
    for (Host host : hosts) {
      if (host.isMoving()) {
        boolean isAtStart = host.state() == HostState.DRAINING;
        long started = isAtStart ? host.stateMillis() : nowMillis;
        moves.putIfAbsent(
            host.name() + '@' + host.drain().offset(),
            new RecentMove(host.name(), host.pool(), host.drain().owner(), started));
      }
    }
    moves.values().removeIf(move -> nowMillis - move.startedMillis() > KEEP_MILLIS);
  }

  /** Returns the known moves. */
  public List<RecentMove> moves() {
    return List.copyOf(moves.values());
  }
}
