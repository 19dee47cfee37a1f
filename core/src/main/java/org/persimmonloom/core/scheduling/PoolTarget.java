package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.Resources;

/** Computes the target number of hosts of a pool. Stateless. */
final class PoolTarget {
  /** Spare capacity as a fraction of the demand, since tasks do not fill workers exactly. */
  private static final double HEADROOM = 0.15;

  /** Constant number of workers that a pool keeps beyond its demand and headroom. */
  private static final double RESERVE_WORKERS = 0.6;

  private PoolTarget() {}

  static int hosts(PoolDemand.Need need, Resources capacity) {
    double wanted = need.workers(capacity) * (1 + HEADROOM) + RESERVE_WORKERS;
    return Math.max(need.minWorkers + 1, (int) Math.ceil(wanted));
  }
}
