package org.persimmonloom.core.scheduling;

import org.persimmonloom.core.workflow.Resources;

/** Decides how many hosts a pool should have. Stateless. */
final class PoolTarget {
  /** Room beyond the demand, since tasks do not fill workers exactly, as a share. */
  private static final double HEADROOM = 0.15;

  /** Hosts that a pool keeps beyond its demand. */
  private static final double RESERVE_WORKERS = 0.6;

  private PoolTarget() {}

  static int hosts(PoolDemand.Need need, Resources capacity) {
    double wanted = need.workers(capacity) * (1 + HEADROOM) + RESERVE_WORKERS;
    return Math.max(need.minWorkers + 1, (int) Math.ceil(wanted));
  }
}
