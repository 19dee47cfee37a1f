package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks entry hosts for a key, such as a worker's name, by rendezvous hashing. The loss of a host
 * reassigns only the keys that it owned, and spreads them over many other hosts. Pure.
 */
public final class RendezvousRanking {
  /**
   * Additional delay for each rank before a host acts in place of the hosts ranked before it.
   * Starts and stops are idempotent, so it is safe if two hosts act. With this delay, an urgent job
   * that needs a preemption starts within 7.8 s even if its planner and the owner of its worker are
   * both paused.
   */
  public static final long RANK_DELAY_MILLIS = 1_500;

  private static final LongHashFunction HASH = LongHashFunction.xx();

  private RendezvousRanking() {}

  /**
   * Returns the rank of {@code host} among {@code hosts} for the key: 0 for the owner, -1 if the
   * host is not in the list.
   */
  public static int rank(String key, String host, List<String> hosts) {
    List<String> ordered = new ArrayList<>(hosts);
    ordered.sort(
        Comparator.comparingLong((String name) -> HASH.hashChars(key + '/' + name))
            .thenComparing(Comparator.naturalOrder()));
    return ordered.indexOf(host);
  }

  /**
   * Returns whether a host of this rank may handle an item that has waited for {@code
   * waitedMillis}. A host with a negative rank never may.
   */
  public static boolean mayAct(int rank, long waitedMillis) {
    return rank == 0 || (rank > 0 && waitedMillis >= rank * RANK_DELAY_MILLIS);
  }
}
