package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether an entry host may rely on its copy of the fleet state.
 *
 * <p>Evidence is never older than {@link #CURRENT_FOR_MILLIS}. Evidence from a peer keeps the time
 * at which that peer read the log, so two cut-off hosts can't keep each other current. Evidence
 * from the future, after a step of the clock, does not count. Stateless.
 */
public final class CurrencyRule {
  /** How long a host stays current after its last evidence. */
  public static final long CURRENT_FOR_MILLIS = 5_000;

  /** A quorum is reviewed this often, because a peer may begin to read the log again. */
  private static final long QUORUM_REVIEW_MILLIS = 2_000;

  /** Why a host is current. */
  public enum Basis {
    /** It read the log to its end. */
    LOG,
    /** A peer that read the log to its end has folded no more. */
    PEER,
    /** More than half of the registered hosts are reached and none of them reads the log. */
    QUORUM,
    /** It is not current. */
    NONE
  }

  /**
   * What a host knows about itself.
   *
   * @param logReadMillis start of the last read that reached the end of the log; any time that is
   *     long past if there was none
   */
  public record LocalState(String name, long incarnation, long nextOffset, long logReadMillis) {}

  /**
   * The decision.
   *
   * @param untilMillis last moment at which it holds without new evidence. A process that is paused
   *     compares it with its clock when it resumes, before anything else has run.
   */
  public record Decision(Basis basis, long untilMillis) {
    private static final Decision NOT_CURRENT = new Decision(Basis.NONE, Long.MIN_VALUE);
  }

  private CurrencyRule() {}

  /** Returns on what ground and until when the host is current. */
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
