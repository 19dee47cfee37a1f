package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;

/**
 * Decides when this entry host proposes that another one is lost.
 *
 * <p>One host proposes first, by rendezvous order for the lost incarnation; the others follow with
 * a delay that grows with their rank, so that a fleet does not append the same proposal at once. A
 * proposal that the fold would refuse is not made. Stateless.
 */
public final class LossRule {
  private static final long RANK_DELAY_MILLIS = 2_000;
  private static final long MAX_JITTER_MILLIS = 1_000;

  private LossRule() {}

  /** Returns the incarnations that {@code self} should propose as lost now. */
  public static List<EntryHostLost> due(
      String self,
      Collection<EntryHost> registered,
      PeerView view,
      long foldTimeMillis,
      long nowMillis) {
    Set<String> reporters =
        Stream.concat(
                Stream.of(self),
                registered.stream()
                    .map(EntryHost::name)
                    .filter(name -> !view.isSuspect(name, nowMillis)))
            .collect(Collectors.toSet());
    return registered.stream()
        .filter(host -> !host.name().equals(self))
        .filter(
            host ->
                overdueMillis(host, view, foldTimeMillis, nowMillis)
                    >= delayMillis(self, host, reporters))
        .map(host -> new EntryHostLost(host.name(), host.incarnation()))
        .toList();
  }

  /** Returns how long both limits have been passed; negative if one has not. */
  private static long overdueMillis(
      EntryHost host, PeerView view, long foldTimeMillis, long nowMillis) {
    long silentMillis = view.silentMillis(host.name(), nowMillis) - PeerView.LOST_AFTER_MILLIS;
    long unrenewedMillis = foldTimeMillis - host.seenMillis() - EntryHostTable.LOST_AFTER_MILLIS;
    return Math.min(silentMillis, unrenewedMillis);
  }

  private static long delayMillis(String self, EntryHost host, Set<String> reporters) {
    String key = host.name() + '/' + host.incarnation();
    int rank = RendezvousOrder.rank(reporters, key, self);
    if (rank == 0) {
      return 0;
    }
    long hash = LongHashFunction.xx().hashChars(self + '/' + key);
    return rank * RANK_DELAY_MILLIS + Math.floorMod(hash, MAX_JITTER_MILLIS);
  }
}
