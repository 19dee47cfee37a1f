package org.persimmonloom.runtime.workflow;

import java.time.InstantSource;
import java.util.Objects;
import java.util.function.LongSupplier;

/**
 * The renewals of a host's ownership, and for how long the last one counts.
 *
 * <p>Another host may claim after {@link Ownership#CLAIM_AFTER_MILLIS}. Beyond that, the last
 * renewal counts only while further ones are tried and the store does not answer them, as in an
 * outage, in which no other host can claim either. After a pause of this process it does not, until
 * the next attempt has ended. Safe for any thread.
 */
final class Renewals {
  /**
   * Maximum time from the start of a failed renewal to the end of the next one, if the process
   * runs: two attempts, each by an own call and three relays, and the interval.
   */
  private static final long MAX_FAILED_AGE_MILLIS = 4_000;

  /**
   * Maximum time of a failed renewal if the process runs: an own call and three relays, 1.5 s
   * together, and the delays of a busy host. A longer one may cover a pause.
   */
  private static final long MAX_DURATION_MILLIS = 2_000;

  private final LongSupplier clock;
  private final InstantSource wallClock;
  private final RenewalAge succeeded = new RenewalAge();
  private final RenewalAge failed = new RenewalAge();

  /** The first claim or renewal that was sent after the last success; null if there is none. */
  private volatile SendTime earliestUnconfirmed;

  /** When a renewal or claim was sent, by both clocks; see {@link RenewalAge}. */
  record SendTime(long monotonicMillis, long wallMillis) {}

  Renewals(LongSupplier clock, InstantSource wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
  }

  SendTime now() {
    return new SendTime(clock.getAsLong(), wallClock.millis());
  }

  /** Returns the time of a claim or renewal that is sent now. */
  SendTime sending() {
    SendTime now = now();
    if (earliestUnconfirmed == null) {
      earliestUnconfirmed = now;
    }
    return now;
  }

  /**
   * Returns when a claim or renewal was sent that was found in the table after its answer was lost.
   * It may be any since the last success, and other hosts may have read it since the first of them.
   */
  SendTime earliestUnconfirmed() {
    return Objects.requireNonNullElseGet(earliestUnconfirmed, () -> new SendTime(0, 0));
  }

  /**
   * Records a renewal that was found in the table after its answer was lost. Failures since it was
   * sent remain a sign of an outage.
   */
  void found() {
    SendTime sent = earliestUnconfirmed();
    earliestUnconfirmed = null;
    succeeded.renewed(sent.monotonicMillis(), sent.wallMillis());
  }

  /**
   * Records a renewal or claim that was written. Earlier failures, also those of an earlier term,
   * are no sign of an outage after it.
   */
  void succeeded(SendTime sent) {
    earliestUnconfirmed = null;
    succeeded.renewed(sent.monotonicMillis(), sent.wallMillis());
    failed.clear();
  }

  /** Records a renewal without an answer of the store, unless it may have failed by a pause. */
  void failed(SendTime sent) {
    SendTime now = now();
    long monotonicMillis = now.monotonicMillis() - sent.monotonicMillis();
    long wallMillis = now.wallMillis() - sent.wallMillis();
    if (Math.max(monotonicMillis, wallMillis) <= MAX_DURATION_MILLIS) {
      failed.renewed(sent.monotonicMillis(), sent.wallMillis());
    }
  }

  /** Returns the time since the last success was sent, in ms; the maximum if it does not count. */
  long ageMillis() {
    SendTime now = now();
    long ageMillis = succeeded.millis(now.monotonicMillis(), now.wallMillis());
    long failedMillis = failed.millis(now.monotonicMillis(), now.wallMillis());
    boolean counts =
        ageMillis < Ownership.CLAIM_AFTER_MILLIS || failedMillis < MAX_FAILED_AGE_MILLIS;
    return counts ? ageMillis : Long.MAX_VALUE;
  }
}
