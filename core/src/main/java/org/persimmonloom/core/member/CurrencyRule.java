package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether the fleet state at an entry host is current, that is, recent enough to serve
 * requests from.
 *
 * <p>Evidence older than {@link #CURRENT_FOR_MILLIS} is ignored. Evidence from a peer keeps the
 * time at which that peer read the log, so two hosts without access to the log can't keep each
 * other current by it. Evidence with a time in the future, which a step of the clock can cause, is
 * ignored. Stateless.
 */
public final class CurrencyRule {
  /** How long a host stays current after its latest evidence. */
  public static final long CURRENT_FOR_MILLIS = 5_000;

  /** Longest validity of a decision by quorum, because a peer may start to read the log again. */
  private static final long QUORUM_REVIEW_MILLIS = 2_000;

  /** Evidence for which a host is current. */
  public enum Basis {
    /** The host read the log to its end. */
    LOG,
    /** A peer read the log to its end and has folded no more records than this host. */
    PEER,
    /**
     * More than half of the registered hosts, counting this one, are reachable, none of them can
     * read the log, and none has folded more records than this host.
     */
    QUORUM,
    /** The host is not current. */
    NONE
  }

  /**
   * State of the deciding host.
   *
   * @param logReadMillis start of the last read that reached the end of the log; a time far in the
   *     past if there was none
   */
  public record LocalState(String name, long incarnation, long nextOffset, long logReadMillis) {}

  /**
   * Result of a decision.
   *
   * @param untilMillis last moment at which the decision holds without new evidence. A process that
   *     resumes after a pause must compare it with its clock before it relies on the decision.
   */
  public record Decision(Basis basis, long untilMillis) {
    private static final Decision NOT_CURRENT = new Decision(Basis.NONE, Long.MIN_VALUE);
  }

  private CurrencyRule() {}

  /** Decides on which evidence and until when the host is current. */
  public static Decision decide(
      LocalState local, Collection<EntryHost> registered, PeerView view, long nowMillis) {
    if (isFresh(local.logReadMillis(), nowMillis)) {
      return new Decision(Basis.LOG, local.logReadMillis() + CURRENT_FOR_MILLIS);
    }
    OptionalLong peerReadMillis =
        view.readEvidence().stream()
            .filter(evidence -> evidence.nextOffset() <= local.nextOffset())
            .mapToLong(PeerView.ReadEvidence::readMillis)
            .filter(millis -> isFresh(millis, nowMillis))
            .max();
    if (peerReadMillis.isPresent()) {
      return new Decision(Basis.PEER, peerReadMillis.getAsLong() + CURRENT_FOR_MILLIS);
    }
    return decideByQuorum(local, registered, view, nowMillis);
  }

  private static Decision decideByQuorum(
      LocalState local, Collection<EntryHost> registered, PeerView view, long nowMillis) {
    List<PeerView.ReceivedHeartbeat> reachablePeers =
        registered.stream()
            .flatMap(
                host ->
                    view.find(host.name()).stream().filter(peer -> isSameIncarnation(host, peer)))
            .filter(peer -> isFresh(peer.aliveMillis(), nowMillis))
            .sorted(Comparator.comparingLong(PeerView.ReceivedHeartbeat::aliveMillis).reversed())
            .toList();
    boolean isRegistered =
        registered.stream()
            .anyMatch(
                host ->
                    host.name().equals(local.name()) && host.incarnation() == local.incarnation());
    int neededPeers = registered.size() / 2 + 1 - (isRegistered ? 1 : 0);
    boolean isQuorum =
        !registered.isEmpty()
            && reachablePeers.size() >= neededPeers
            && reachablePeers.stream().noneMatch(peer -> isFresh(peer.logReadMillis(), nowMillis))
            && reachablePeers.stream()
                .allMatch(peer -> peer.heartbeat().nextOffset() <= local.nextOffset());
    if (!isQuorum) {
      return Decision.NOT_CURRENT;
    }
    long reviewMillis = nowMillis + QUORUM_REVIEW_MILLIS;
    return neededPeers == 0
        ? new Decision(Basis.QUORUM, reviewMillis)
        : new Decision(
            Basis.QUORUM,
            Math.min(
                reviewMillis,
                reachablePeers.get(neededPeers - 1).aliveMillis() + CURRENT_FOR_MILLIS));
  }

  private static boolean isSameIncarnation(EntryHost host, PeerView.ReceivedHeartbeat peer) {
    return host.incarnation() == peer.heartbeat().incarnation();
  }

  private static boolean isFresh(long evidenceMillis, long nowMillis) {
    return evidenceMillis <= nowMillis && nowMillis - evidenceMillis <= CURRENT_FOR_MILLIS;
  }
}
