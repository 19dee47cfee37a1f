package org.persimmonloom.core.member;

import java.util.Set;
import java.util.TreeSet;

/**
 * The offset that a starting entry host must have folded before it is ready.
 *
 * <p>The target is the maximum of the first observed end of the log and the first observed offset
 * of each peer. Later offsets do not raise it: under constant load a moving target might never be
 * reached, and {@link CurrencyRule} decides whether the host keeps up afterwards. Once reached, the
 * target stays reached. Confined to one thread or guarded by its owner's lock.
 */
public final class CatchUpTarget {
  private final Set<String> observedPeers = new TreeSet<>();
  private long targetOffset;
  private boolean hasLogEnd;
  private boolean isReached;

  /**
   * Records the end of the log. Only the first call has an effect.
   *
   * @param nextOffset offset that the next append will get
   */
  public void observeLogEnd(long nextOffset) {
    if (!hasLogEnd) {
      hasLogEnd = true;
      targetOffset = Math.max(targetOffset, nextOffset);
    }
  }

  /**
   * Records the offset of a peer. Only the first call for each peer has an effect.
   *
   * @param nextOffset first offset that the peer has not folded
   */
  public void observePeer(String peer, long nextOffset) {
    if (observedPeers.add(peer)) {
      targetOffset = Math.max(targetOffset, nextOffset);
    }
  }

  /**
   * Returns whether the target is reached. If the end of the log is not known, the offset of a peer
   * is sufficient, so that a host without access to the log can start from the records of its
   * peers.
   */
  public boolean isReached(long ownNextOffset) {
    boolean hasObservation = hasLogEnd || !observedPeers.isEmpty();
    isReached = isReached || (hasObservation && ownNextOffset >= targetOffset);
    return isReached;
  }

  /** Returns the target offset from the observations so far. */
  public long targetOffset() {
    return targetOffset;
  }
}
