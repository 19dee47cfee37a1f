package org.persimmonloom.runtime.caller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Endpoint hosts that get no new work, in addition to those that the log excludes: hosts that the
 * host list or a peer reports as leaving, and hosts that refused a connection recently.
 *
 * <p>A report is in force until the same source withdraws it. A refused connection excludes the
 * host for {@link #REFUSED_CONNECTION_MILLIS}; the time doubles with each further refusal. It is
 * limited because the host may have restarted.
 *
 * <p>After a pause of this process the copy of the host list is as old as the pause. Work is then
 * assigned only after another attempt to read the list. Safe for any thread.
 */
@Singleton
public final class LeavingHosts {
  /** How long a host gets no new work after its first refused connection. */
  public static final long REFUSED_CONNECTION_MILLIS = 1_000;

  /**
   * Maximum age of the host list for assigning work, in ms; longer than one interval of the watcher
   * plus the time limits of two reads.
   */
  public static final long MAX_HOST_LIST_AGE_MILLIS = 2_500;

  private static final int MAX_BACKOFF_DOUBLINGS = 5;
  private static final long FORGET_REFUSALS_MILLIS = 60_000;

  private record RefusedConnections(int count, long untilMillis) {}

  private final Map<String, Set<String>> leavingByPeer = new HashMap<>();
  private final Map<String, RefusedConnections> refusedByHost = new HashMap<>();
  private Set<String> leavingInHostList = Set.of();
  private long validUntilMillis = Long.MAX_VALUE;

  @Inject
  public LeavingHosts() {}

  /**
   * Replaces the hosts that the host list names as leaving.
   *
   * @param requestedMillis when the list was requested
   */
  public synchronized void setHostList(Set<String> leaving, long requestedMillis) {
    leavingInHostList = Set.copyOf(leaving);
    validUntilMillis = requestedMillis + MAX_HOST_LIST_AGE_MILLIS;
  }

  /**
   * Records that the host list can't be read; work continues with the last copy. A read that
   * spanned a pause of the process is ignored, because it doesn't show whether the list is
   * readable.
   */
  public synchronized void recordUnreadableHostList(long requestedMillis, long nowMillis) {
    if (nowMillis - requestedMillis <= MAX_HOST_LIST_AGE_MILLIS) {
      validUntilMillis = Long.MAX_VALUE;
    }
  }

  /** Returns the time until which work may be assigned by the current host list. */
  synchronized long validUntilMillis() {
    return validUntilMillis;
  }

  /** Replaces the hosts that a peer reports as leaving. */
  public synchronized void setPeerReport(String peer, Set<String> leaving) {
    if (leaving.isEmpty()) {
      leavingByPeer.remove(peer);
    } else {
      leavingByPeer.put(peer, Set.copyOf(leaving));
    }
  }

  /** Records that a connection to the host could not be opened. */
  public synchronized void recordRefusedConnection(String host, long nowMillis) {
    RefusedConnections previous = refusedByHost.get(host);
    if (previous != null && nowMillis < previous.untilMillis()) {
      return;
    }
    boolean isRecent =
        previous != null && nowMillis - previous.untilMillis() < FORGET_REFUSALS_MILLIS;
    int count = isRecent ? previous.count() + 1 : 0;
    refusedByHost.put(
        host,
        new RefusedConnections(
            count,
            nowMillis + (REFUSED_CONNECTION_MILLIS << Math.min(count, MAX_BACKOFF_DOUBLINGS))));
  }

  /**
   * Returns the hosts to report to peers. Hosts with refused connections are left out: an entry
   * host that is disconnected from the endpoints would otherwise exclude all of them at its peers.
   */
  public synchronized Set<String> hostsToReport() {
    return leavingInHostList;
  }

  /** Returns every host that gets no new work. */
  public synchronized Set<String> excludedHosts(long nowMillis) {
    refusedByHost
        .values()
        .removeIf(refusals -> nowMillis - refusals.untilMillis() > FORGET_REFUSALS_MILLIS);
    Set<String> excluded = new HashSet<>(leavingInHostList);
    leavingByPeer.values().forEach(excluded::addAll);
    refusedByHost.forEach(
        (host, refusals) -> {
          if (nowMillis < refusals.untilMillis()) {
            excluded.add(host);
          }
        });
    return excluded;
  }
}
