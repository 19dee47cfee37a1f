package org.persimmonloom.core.member;

import java.util.Set;
import java.util.TreeSet;

/**
 * The offset that a starting entry host must have folded before it is ready.
 *
 * <p>The goal takes in the first offset that the log and each peer show. Later offsets do not move
 * it: under constant load a moving goal might never be reached, and whether the host keeps up
 * afterwards is decided by {@link CurrencyRule}. Once reached, the goal stays reached. Confined to
 * one thread or guarded by its owner's lock.
 */
public final class CatchUpTarget {
  private final Set<String> observedPeers = new TreeSet<>();
  private long targetOffset;
  private boolean hasLogEnd;
  private boolean isReached;

  /** Takes in the end of the log: the offset that the next append will get. */
  public void observeLogEnd(long nextOffset) {
    if (!hasLogEnd) {
      hasLogEnd = true;
      targetOffset = Math.max(targetOffset, nextOffset);
    }
  }

  /** Takes in the first offset that a peer has not folded. */
  public void observePeer(String peer, long nextOffset) {
    if (observedPeers.add(peer)) {
      targetOffset = Math.max(targetOffset, nextOffset);
    }
  }

  /**
   * Returns whether the goal is reached. Without the end of the log, the offset of a peer will do,
   * so that a host whose own way to the log is cut can start from the records of its peers.
   */
  public boolean isReached(long ownNextOffset) {
    boolean hasObservation = hasLogEnd || !observedPeers.isEmpty();
    isReached = isReached || (hasObservation && ownNextOffset >= targetOffset);
    return isReached;
  }

  /** Returns the goal as it is known so far. */
  public long targetOffset() {
    return targetOffset;
  }
}
