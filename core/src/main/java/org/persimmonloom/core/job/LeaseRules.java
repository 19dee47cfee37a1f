package org.persimmonloom.core.job;

import org.persimmonloom.core.member.EntryHostTable;

/**
 * Lengths of the leases of jobs, and when a lease has certainly expired at a worker.
 *
 * <p>There are two leases. The fold holds a long one, which one record per worker extends. The
 * worker holds a short one on its own clock, which an entry host renews directly. A start or
 * renewal names a reading of the worker's clock that the sender took before it looked at the fold,
 * and the worker counts its lease from that reading. So neither a pause of the sender nor a delay
 * in the network extends a lease.
 *
 * <p>An entry host starts or renews only while its estimate of the present fold time is below
 * {@code leaseUntilMillis}. The estimate needs no contact with the log, so tasks survive an outage
 * of the log as long as the fold's lease. The last lease at a worker then ends at most {@link
 * #WORKER_LEASE_MILLIS} later on the worker's clock. Against that, fold time may run ahead of real
 * time by {@link EntryHostTable#MAX_CLOCK_LEAD_MILLIS}, and the clocks may run slow. {@link
 * #EXPIRY_MARGIN_MILLIS} is the sum of these.
 */
public final class LeaseRules {
  /**
   * The worker's lease. An entry host that pauses is replaced as owner of its workers after at most
   * 25 s ({@link EntryHostTable#LOST_AFTER_MILLIS}) and one visit; the lease is longer than that
   * after any lost renewal. It is short because a task that nobody owns runs on for this long.
   */
  public static final long WORKER_LEASE_MILLIS = 60_000;

  /** How often an entry host polls and renews each of its workers. */
  public static final long WORKER_RENEWAL_INTERVAL_MILLIS = 10_000;

  /**
   * The fold's lease. An outage of the log ends no task for at least the lease without one renewal
   * period, 10 minutes. The price is that a job on a worker that died waits at most 18 minutes; a
   * worker that rebooted reports it, and its jobs don't wait.
   */
  public static final long FOLD_LEASE_MILLIS = 15 * 60_000L;

  /** How often the fold's leases at a worker are extended: 4,200 workers make 14 records/s. */
  public static final long FOLD_RENEWAL_INTERVAL_MILLIS = 5 * 60_000L;

  /**
   * How far a clock may run slow. Quartz drifts by less than 0.02 %; one percent also covers clocks
   * that are slewed.
   */
  static final long MAX_CLOCK_DRIFT_PERCENT = 1;

  /** Fold time after the end of the fold's lease when no worker's lease is left. */
  public static final long EXPIRY_MARGIN_MILLIS =
      EntryHostTable.MAX_CLOCK_LEAD_MILLIS
          + WORKER_LEASE_MILLIS
          + (FOLD_LEASE_MILLIS + WORKER_LEASE_MILLIS) * MAX_CLOCK_DRIFT_PERCENT / 100;

  private LeaseRules() {}

  /** Returns whether the attempt's lease is over at its worker. */
  public static boolean isCertainlyExpired(Attempt attempt, long foldTimeMillis) {
    return foldTimeMillis >= attempt.leaseUntilMillis() + EXPIRY_MARGIN_MILLIS;
  }

  /** Returns whether an entry host may start or renew the attempt at this estimated fold time. */
  public static boolean mayRenew(Attempt attempt, long nowMillis) {
    return nowMillis < attempt.leaseUntilMillis();
  }
}
