package org.persimmonloom.runtime.workflow;

import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Elects the entry host that owns the fleet, through the platform's log.
 *
 * <p>Every record of the ownership table is appended on the condition that nothing follows the
 * record it is based on, so the table is a linear sequence of owners. The owner's fence is one more
 * than the offset of its claim; fences only increase. The owner renews its record periodically. A
 * host may claim the ownership if it has read the table without interruption for {@link
 * #CLAIM_AFTER_MILLIS} and found no renewal. Runs on its own thread; the methods are safe for any
 * thread.
 */
final class Ownership {
  /**
   * Receives changes of ownership; usually called on the ownership thread, but a step-down calls it
   * on the caller's thread.
   */
  interface Listener {
    /** This host now owns the fleet. */
    void ownershipGained(OwnershipTerm term);

    /** This host no longer owns the fleet. */
    void ownershipLost();
  }

  private static final Logger LOG = LogManager.getLogger(Ownership.class);
  private static final long RENEWAL_INTERVAL_MILLIS = 500;
  static final long CLAIM_AFTER_MILLIS = 1_800;
  private static final int MAX_RELEASE_RETRIES = 2;
  private static final int READ_WAIT_MILLIS = 500;
  private static final long RETRY_DELAY_MILLIS = 100;

  /**
   * Maximum per-host delay of a claim. It spreads the candidates' claims; most then see the first
   * claim before they send their own.
   */
  private static final int MAX_STAGGER_MILLIS = 150;

  private final OwnershipTable table;
  private final String host;
  private final long incarnation;
  private final LongSupplier clock;
  private final LongSupplier claimDelayMillis;
  private final Listener listener;
  private final Thread thread;
  private final Renewals renewals;
  private volatile boolean isStopping;
  private volatile BooleanSupplier mayClaim = () -> false;
  private volatile boolean isHandoverRequested;
  private volatile long fence = -1;

  /**
   * Fence of the last ended term. It must not be used again, since the sequence numbers of its
   * appends cannot restart.
   */
  private volatile long endedFence;

  private long unchangedSinceMillis;
  private long lastReadMillis;

  /**
   * Creates the ownership of one host.
   *
   * @param incarnation start time of this process, which distinguishes restarts
   * @param clock monotonic clock in milliseconds
   * @param wallClock wall clock, which shows a suspension of this host
   * @param claimDelayMillis additional delay before this host claims
   */
  Ownership(
      OwnershipTable table,
      String host,
      long incarnation,
      LongSupplier clock,
      InstantSource wallClock,
      LongSupplier claimDelayMillis,
      Listener listener) {
    this.table = table;
    this.host = host;
    this.incarnation = incarnation;
    this.clock = clock;
    renewals = new Renewals(clock, wallClock);
    this.claimDelayMillis = claimDelayMillis;
    this.listener = listener;
    thread = new Thread(this::run, "ownership");
    thread.setDaemon(true);
  }

  /** Starts the ownership thread. */
  void start() {
    thread.start();
  }

  /**
   * Releases the ownership, if this host has it, and stops claiming. Blocks until the thread ends,
   * up to 2 s.
   */
  void stop() throws InterruptedException {
    isStopping = true;
    thread.interrupt();
    thread.join(TimeUnit.SECONDS.toMillis(2));
  }

  /** Returns whether this host owns the fleet. */
  boolean isOwner() {
    return fence >= 0;
  }

  /** Releases the ownership, if this host has it, instead of its next renewal. */
  void handOver() {
    isHandoverRequested = isOwner();
  }

  /** Sets what tells whether this host may claim the ownership; asked when it would claim. */
  void setMayClaim(BooleanSupplier mayClaim) {
    this.mayClaim = mayClaim;
  }

  /**
   * Returns the time since the last successful claim or renewal of a term was sent, in ms; the
   * maximum if the term is over or may be without this host's knowledge. Renewals of a later term
   * of this host do not count.
   */
  long renewalAgeMillis(long termFence) {
    // The age before the fence: a new term sets its renewal first, and then its fence.
    long age = renewals.ageMillis();
    return fence == termFence ? age : Long.MAX_VALUE;
  }

  /**
   * Ends a term after a worker or the platform has seen a newer fence; no effect if it is over,
   * also if this host owns the fleet again.
   */
  synchronized void stepDown(long termFence) {
    if (fence == termFence) {
      loseOwnership("fenced");
    }
  }

  private void run() {
    while (!isStopping) {
      try {
        if (!table.isLoaded()) {
          loadTable();
        } else if (fence >= 0) {
          renew();
        } else {
          waitForClaim();
        }
      } catch (InterruptedException e) {
        break;
      } catch (RuntimeException | Error e) {
        LOG.error("event=ownership_failed", e);
        pauseAfterFailure();
      }
    }
    if (fence >= 0) {
      release();
    }
  }

  private void pauseAfterFailure() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      // Only stop() interrupts this thread, and the loop reads its flag next.
      LOG.debug("event=ownership_interrupted");
    }
  }

  private void loadTable() throws InterruptedException {
    if (table.load()) {
      noteRead(true);
    } else {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    }
  }

  /** Records that the table was read; a change, or a gap in reading, restarts the silence. */
  private void noteRead(boolean isChanged) {
    lastReadMillis = clock.getAsLong();
    if (isChanged) {
      unchangedSinceMillis = lastReadMillis;
    }
  }

  /**
   * Reads further records, and claims the ownership if it is released or has not been renewed for
   * {@link #CLAIM_AFTER_MILLIS}.
   */
  private void waitForClaim() throws InterruptedException {
    long sentMillis = clock.getAsLong();
    if (sentMillis - lastReadMillis > CLAIM_AFTER_MILLIS) {
      // Time in which this host did not read, such as a freeze, does not count as silence of the
      // owner.
      unchangedSinceMillis = sentMillis;
    }
    OwnershipTable.ReadResult result = table.read(readWaitMillis(sentMillis));
    if (result == OwnershipTable.ReadResult.EXPIRED) {
      return;
    }
    if (result == OwnershipTable.ReadResult.UNAVAILABLE) {
      noteRead(true);
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
      return;
    }
    noteRead(result == OwnershipTable.ReadResult.NEW_RECORDS);
    if (isOwnCurrentTerm()) {
      // The claim succeeded, but its response was lost or arrived after the timeout.
      gain(new OwnershipTerm(table.newest().fence(), false, 0), renewals.earliestUnconfirmed());
      return;
    }
    boolean isUnowned = isUnowned();
    boolean isFree = isUnowned || lastReadMillis - unchangedSinceMillis >= CLAIM_AFTER_MILLIS;
    if (isFree && mayClaim.getAsBoolean()) {
      claim(isUnowned);
    } else if (isFree) {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    }
  }

  private boolean isUnowned() {
    OwnershipRecord newest = table.newest();
    return newest == null || newest.isReleased() || isOwnEarlierTerm();
  }

  /** Returns the wait time of a read, which ends at the latest when this host may claim. */
  private int readWaitMillis(long nowMillis) {
    if (isUnowned()) {
      return 0;
    }
    long untilClaim = unchangedSinceMillis + CLAIM_AFTER_MILLIS - nowMillis;
    return (int) Math.max(0, Math.min(READ_WAIT_MILLIS, untilClaim));
  }

  private void claim(boolean isHandedOver) throws InterruptedException {
    int stagger = Math.floorMod(host.hashCode(), MAX_STAGGER_MILLIS);
    TimeUnit.MILLISECONDS.sleep(stagger + claimDelayMillis.getAsLong());
    Renewals.SendTime sent = renewals.sending();
    OwnershipRecord previous = table.newest();
    AppendResult result = table.append(new OwnershipRecord(host, incarnation, 0, false));
    if (result instanceof AppendResult.Appended appended) {
      long previousFence = previous == null ? 0 : previous.fence();
      // The offset can be 0, but workers treat fence 0 as missing.
      gain(new OwnershipTerm(appended.offset() + 1, isHandedOver, previousFence), sent);
    } else {
      LOG.info("event=claim_failed at={} result={}", table.end(), result);
      unchangedSinceMillis = clock.getAsLong();
      if (!(result instanceof AppendResult.Conflict)) {
        TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
      }
    }
  }

  private boolean isOwnCurrentTerm() {
    OwnershipRecord newest = table.newest();
    return newest != null
        && !newest.isReleased()
        && newest.host().equals(host)
        && newest.incarnation() == incarnation
        && newest.fence() > endedFence;
  }

  /**
   * Returns whether the newest record is of an earlier process or term of this host, which sends no
   * more orders.
   */
  private boolean isOwnEarlierTerm() {
    return table.newest().host().equals(host) && !isOwnCurrentTerm();
  }

  private synchronized void gain(OwnershipTerm term, Renewals.SendTime sent) {
    renewals.succeeded(sent);
    isHandoverRequested = false;
    fence = term.fence();
    LOG.info("event=ownership_gained fence={} previous={}", fence, table.newest());
    listener.ownershipGained(term);
  }

  private void renew() throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(RENEWAL_INTERVAL_MILLIS);
    // Another thread may end the term at any time, which must not change the record.
    long renewedFence = fence;
    if (renewedFence < 0) {
      return;
    }
    if (isHandoverRequested) {
      isHandoverRequested = false;
      releaseAndReload();
      return;
    }
    Renewals.SendTime sent = renewals.sending();
    AppendResult result =
        table.appendAnyWay(new OwnershipRecord(host, incarnation, renewedFence, false));
    if (result instanceof AppendResult.Appended) {
      renewals.succeeded(sent);
      handOverIfUnreachable();
    } else if (result instanceof AppendResult.Conflict) {
      resolveConflict(renewedFence);
    } else {
      renewals.failed(sent);
      LOG.warn("event=renewal_failed fence={} result={}", renewedFence, result);
    }
  }

  /**
   * Hands over if only other hosts reach the store: this owner would learn of no submission and
   * could record no progress.
   */
  private void handOverIfUnreachable() {
    if (table.isRelayed() && !table.isReachable()) {
      LOG.info("event=ownership_handed_over cause=store_unreachable");
      releaseAndReload();
    }
  }

  /** Releases the ownership and reloads the table, since the release's response may be lost. */
  private void releaseAndReload() {
    release();
    table.unload();
  }

  /**
   * Handles a conflict, which may stem from an own renewal that was written but whose response was
   * lost.
   */
  private void resolveConflict(long renewedFence) {
    OwnershipTable.ReadResult result = table.read(0);
    if (result == OwnershipTable.ReadResult.EXPIRED) {
      loseOwnership("expired");
      return;
    }
    if (result == OwnershipTable.ReadResult.UNAVAILABLE) {
      // Not a failed renewal: a record that follows may be the claim of another host.
      return;
    }
    OwnershipRecord newest = table.newest();
    if (newest != null && newest.fence() == renewedFence && newest.incarnation() == incarnation) {
      renewals.found();
    } else {
      loseOwnership("superseded by " + newest);
    }
  }

  private synchronized void loseOwnership(String cause) {
    long lostFence = endTerm();
    if (lostFence < 0) {
      return;
    }
    LOG.info("event=ownership_lost fence={} cause={}", lostFence, cause);
    noteRead(true);
    listener.ownershipLost();
  }

  /**
   * Stops sending orders, then records the release; the next owner may start as soon as it reads
   * the record.
   */
  private void release() {
    long releasedFence = endTerm();
    if (releasedFence < 0) {
      return;
    }
    listener.ownershipLost();
    OwnershipRecord released = new OwnershipRecord(host, incarnation, releasedFence, true);
    AppendResult result = table.appendAnyWay(released);
    // The response may be lost, and an earlier renewal may have been written only now.
    for (int retry = 0;
        retry < MAX_RELEASE_RETRIES && !isReleased(result, releasedFence);
        retry++) {
      result = table.appendAnyWay(released);
    }
    LOG.info("event=ownership_released fence={} result={}", releasedFence, result);
  }

  /** Returns whether the release was written, or another host owns the fleet already. */
  private boolean isReleased(AppendResult result, long releasedFence) {
    if (result instanceof AppendResult.Conflict) {
      table.read(0);
      return table.newest().isReleased() || table.newest().fence() != releasedFence;
    }
    return !(result instanceof AppendResult.Unknown);
  }

  /** Ends the current term; returns its fence, or -1 if it has ended already. */
  private synchronized long endTerm() {
    long ended = fence;
    if (ended >= 0) {
      endedFence = ended;
      fence = -1;
    }
    return ended;
  }
}
