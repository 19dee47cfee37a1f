package org.persimmonloom.runtime.workflow;

import java.util.function.LongSupplier;

/**
 * What an owner may still do, by the time since its last renewal and the age of what it knows.
 *
 * <p>Orders to workers carry the fence and leases, so an owner goes on with them through a usual
 * outage of the store. Hosts have no leases, so orders about them need a recent renewal. Safe for
 * any thread.
 */
final class OwnerPermission {
  /** After this time without a successful renewal, an owner sends no more orders about hosts. */
  private static final long HOST_ORDER_RENEWAL_TIMEOUT_MILLIS = 900;

  /** Minimum age of the previous owner's last host order when its successor claims. */
  static final long MIN_MILLIS_SINCE_EARLIER_HOST_ORDER =
      Ownership.CLAIM_AFTER_MILLIS - HOST_ORDER_RENEWAL_TIMEOUT_MILLIS;

  private final LongSupplier renewalAgeMillis;
  private final LongSupplier workflowsAgeMillis;
  private final LongSupplier workersAgeMillis;
  private final long renewalTimeoutMillis;
  private volatile boolean isEnded;

  /**
   * Creates the permission of one term.
   *
   * @param renewalAgeMillis time since the last renewal, in ms
   * @param workflowsAgeMillis age of the workflows by which the owner decides, in ms
   * @param workersAgeMillis age of the workers by which the owner decides, in ms
   * @param renewalTimeoutMillis time without a renewal after which no orders are sent, in ms
   */
  OwnerPermission(
      LongSupplier renewalAgeMillis,
      LongSupplier workflowsAgeMillis,
      LongSupplier workersAgeMillis,
      long renewalTimeoutMillis) {
    this.renewalAgeMillis = renewalAgeMillis;
    this.workflowsAgeMillis = workflowsAgeMillis;
    this.workersAgeMillis = workersAgeMillis;
    this.renewalTimeoutMillis = renewalTimeoutMillis;
  }

  /** Ends the permission, since the term is over or a newer owner has taken over. */
  void end() {
    isEnded = true;
  }

  boolean mayOrderWorkers() {
    return !isEnded && renewalAgeMillis.getAsLong() < renewalTimeoutMillis;
  }

  /**
   * Returns whether tasks may be started: no other host can have owned the fleet since the last
   * renewal. A worker that has started again has seen no fence, so that it would take a start of an
   * owner whose successor has already given the task to another worker. And a cancellation, or a
   * worker's entry that it drains, that the owner does not know yet was acknowledged so recently
   * that the start may still follow it.
   */
  boolean mayStartTasks() {
    return !isEnded
        && renewalAgeMillis.getAsLong() < Ownership.CLAIM_AFTER_MILLIS
        && workflowsAgeMillis.getAsLong() < KnownTable.WORKFLOWS.maxStartAgeMillis()
        && workersAgeMillis.getAsLong() < KnownTable.WORKERS.maxStartAgeMillis();
  }

  boolean mayOrderHosts() {
    return !isEnded && renewalAgeMillis.getAsLong() < HOST_ORDER_RENEWAL_TIMEOUT_MILLIS;
  }
}
