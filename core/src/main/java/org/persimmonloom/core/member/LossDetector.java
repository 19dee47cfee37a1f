package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;

/**
 * Decides when this entry host proposes that another entry host is lost.
 *
 * <p>The host that is first in the rendezvous order for the lost incarnation proposes first. The
 * others follow with a delay that grows with their rank, so that the hosts of a fleet do not append
 * the same proposal at the same time. The delay starts when this host first observes that both
 * limits, the silence of the peer and the age of its registration in fold time, are exceeded, and
 * is measured on the local clock: fold time advances in steps of up to 10 s, because hosts that
 * started together renew together. A proposal that the fold would refuse is not made, and a
 * proposal is repeated at the earliest after {@link #REPEAT_MILLIS}. Confined to one thread or
 * guarded by its owner's lock.
 */
public final class LossDetector {
  static final long RANK_DELAY_MILLIS = 2_000;
  static final long MAX_JITTER_MILLIS = 1_000;

  /** Time to wait for a proposal to be folded before it is repeated. */
  static final long REPEAT_MILLIS = 5_000;

  private final String self;
  private final Map<EntryHostLost, Long> overdueSinceMillis = new HashMap<>();
  private final Map<EntryHostLost, Long> proposedMillis = new HashMap<>();

  /** Creates the detector of the entry host with the given name. */
  public LossDetector(String self) {
    this.self = self;
  }

  /** Returns the losses that this host proposes now, and records them as proposed. */
  public List<EntryHostLost> lossesToPropose(
      Collection<EntryHost> registered, PeerView view, long foldTimeMillis, long nowMillis) {
    Set<EntryHostLost> overdue =
        registered.stream()
            .filter(host -> !host.name().equals(self))
            .filter(host -> isOverdue(host, view, foldTimeMillis, nowMillis))
            .map(host -> new EntryHostLost(host.name(), host.incarnation()))
            .collect(Collectors.toCollection(LinkedHashSet::new));
    overdueSinceMillis.keySet().retainAll(overdue);
    overdue.forEach(loss -> overdueSinceMillis.putIfAbsent(loss, nowMillis));
    proposedMillis.values().removeIf(millis -> nowMillis - millis >= REPEAT_MILLIS);
    Set<String> reportingHosts = reportingHosts(registered, view, nowMillis);
    List<EntryHostLost> losses =
        overdue.stream()
            .filter(loss -> !proposedMillis.containsKey(loss))
            .filter(
                loss ->
                    nowMillis - overdueSinceMillis.get(loss) >= delayMillis(loss, reportingHosts))
            .toList();
    losses.forEach(loss -> proposedMillis.put(loss, nowMillis));
    return losses;
  }

  private static boolean isOverdue(
      EntryHost host, PeerView view, long foldTimeMillis, long nowMillis) {
    return view.silentMillis(host.name(), nowMillis) >= PeerView.LOST_AFTER_MILLIS
        && foldTimeMillis - host.seenMillis() >= EntryHostTable.LOST_AFTER_MILLIS;
  }

  private Set<String> reportingHosts(
      Collection<EntryHost> registered, PeerView view, long nowMillis) {
    Set<String> reportingHosts = new HashSet<>();
    reportingHosts.add(self);
    registered.stream()
        .map(EntryHost::name)
        .filter(name -> !view.isSuspect(name, nowMillis))
        .forEach(reportingHosts::add);
    return reportingHosts;
  }

  private long delayMillis(EntryHostLost loss, Set<String> reportingHosts) {
    String key = loss.name() + '/' + loss.incarnation();
    int rank = RendezvousOrder.rank(reportingHosts, key, self);
    if (rank == 0) {
      return 0;
    }
    long hash = LongHashFunction.xx().hashChars(self + '/' + key);
    return rank * RANK_DELAY_MILLIS + Math.floorMod(hash, MAX_JITTER_MILLIS);
  }
}
