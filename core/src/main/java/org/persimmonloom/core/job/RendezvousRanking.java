package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Divides workers between entry hosts by rendezvous hashing: each worker ranks the hosts by a hash,
 * so that the loss of a host moves only its own workers, to many others. Pure.
 */
public final class RendezvousRanking {
  /**
   * How much longer each rank waits before it acts in place of the ranks before it. Starts and
   * stops are idempotent, so acting twice does no harm. An urgent job whose planner and whose
   * worker's owner are both paused, and which needs a preemption, starts within 7.8 s.
   */
  public static final long RANK_DELAY_MILLIS = 1_500;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private RendezvousRanking() {}

  /** Returns the place of {@code host} among {@code hosts} for this key; 0 is the owner. */
  public static int rank(String key, String host, List<String> hosts) {
    List<String> ordered = new ArrayList<>(hosts);
    ordered.sort(
        Comparator.comparingLong((String name) -> HASH.hashChars(key + '/' + name))
            .thenComparing(Comparator.naturalOrder()));
    return ordered.indexOf(host);
  }

  /**
   * Returns whether a host of this rank acts on something that has waited for so long; a rank below
   * 0 never does.
   */
  public static boolean mayAct(int rank, long waitedMillis) {
    return rank == 0 || (rank > 0 && waitedMillis >= rank * RANK_DELAY_MILLIS);
  }
}
