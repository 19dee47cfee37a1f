package org.persimmonloom.core.job;

import org.persimmonloom.core.member.EntryHostTable;

/**
 * Durations of job leases, and the rules for when an attempt may be renewed and when its lease has
 * certainly expired at the worker.
 *
 * <p>An attempt has two leases. The long lease is part of the fold; one record per worker extends
 * it. The short lease is measured by the worker on its own clock; an entry host renews it directly.
 * Each start or renewal carries a reading of the worker's clock that the sender obtained before it
 * read the fold, and the worker's lease counts from that reading. Therefore neither a pause of the
 * sender nor a network delay extends a lease.
 *
 * <p>An entry host starts or renews an attempt only while its estimate of the current fold time is
 * below {@code leaseUntilMillis}. The estimate needs no connection to the log, so tasks survive a
 * log outage for as long as the fold's lease lasts. The last lease at the worker then ends at most
 * {@link #WORKER_LEASE_MILLIS} later on the worker's clock. In addition, fold time may be ahead of
 * real time by up to {@link EntryHostTable#MAX_CLOCK_LEAD_MILLIS}, and clocks may run slow. {@link
 * #EXPIRY_MARGIN_MILLIS} is the sum of these.
 */
public final class LeaseRules {
  /**
   * Duration of the worker's lease. An entry host that pauses is replaced as owner of its workers
   * after at most 25 s ({@link EntryHostTable#LOST_AFTER_MILLIS}) plus one visit; the lease exceeds
   * this even if a renewal is lost. The lease is short because an orphaned task keeps running for
   * this long.
   */
  public static final long WORKER_LEASE_MILLIS = 60_000;

  /** Interval at which an entry host polls each of its workers and renews the workers' leases. */
  public static final long WORKER_RENEWAL_INTERVAL_MILLIS = 10_000;

  /**
   * Duration of the fold's lease. During a log outage, no task is stopped for at least the lease
   * minus one renewal interval, 10 minutes. In return, a job on a worker that died waits up to 18
   * minutes before it is placed again; a worker that rebooted reports the new boot, so its jobs do
   * not wait.
   */
  public static final long FOLD_LEASE_MILLIS = 15 * 60_000L;

  /**
   * Interval at which the fold's leases at a worker are extended. With 4,200 workers this makes 14
   * records/s.
   */
  public static final long FOLD_RENEWAL_INTERVAL_MILLIS = 5 * 60_000L;

  /**
   * Maximum rate by which a clock may run slow, in percent. Quartz drifts by less than 0.02 %; one
   * percent also covers clocks that are being slewed.
   */
  static final long MAX_CLOCK_DRIFT_PERCENT = 1;

  /**
   * Fold time after the end of the fold's lease at which the worker's lease has certainly expired.
   */
  public static final long EXPIRY_MARGIN_MILLIS =
      EntryHostTable.MAX_CLOCK_LEAD_MILLIS
          + WORKER_LEASE_MILLIS
          + (FOLD_LEASE_MILLIS + WORKER_LEASE_MILLIS) * MAX_CLOCK_DRIFT_PERCENT / 100;

  private LeaseRules() {}

  /** Returns whether the attempt's lease has certainly expired at its worker. */
  public static boolean isCertainlyExpired(Attempt attempt, long foldTimeMillis) {
    return foldTimeMillis >= attempt.leaseUntilMillis() + EXPIRY_MARGIN_MILLIS;
  }

  /** Returns whether an entry host may start or renew the attempt at this estimated fold time. */
  public static boolean mayRenew(Attempt attempt, long nowMillis) {
    return nowMillis < attempt.leaseUntilMillis();
  }
}
