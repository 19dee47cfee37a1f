package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.function.Predicate;

/**
 * Keeps the ownership of the fleet on the entry hosts that have the most processor time.
 *
 * <p>The owner's work grows with the fleet, and hosts differ several times over in what they may
 * use. A host with less than the largest registered one waits before it claims, and an owner on a
 * host much smaller than another that could claim hands the ownership over. Safe for any thread.
 */
final class OwnershipPlacement {
  /** A host with hardly any processor time claims this much later, in ms. */
  private static final long MAX_CLAIM_DELAY_MILLIS = 400;

  /** A handover interrupts the owner's work, so the next owner must have this much more. */
  private static final double MIN_HANDOVER_RATIO = 2;

  private static final long CHECK_INTERVAL_MILLIS = 2_000;

  /** Time between two handovers of one host, since a candidate may fail to claim, in ms. */
  private static final long MIN_HANDOVER_INTERVAL_MILLIS = 30_000;

  /** Hosts that are asked in one check. */
  private static final int MAX_HOSTS_PER_CHECK = 3;

  private final HostDirectory hosts;
  private final double processors;
  private final Predicate<String> mayClaim;
  private long nextCheckMillis = Long.MIN_VALUE;

  /**
   * Creates the placement of one host.
   *
   * @param processors processor time of this host, in cores
   * @param mayClaim asks the host at an address whether it would claim the ownership
   */
  OwnershipPlacement(HostDirectory hosts, double processors, Predicate<String> mayClaim) {
    this.hosts = hosts;
    this.processors = processors;
    this.mayClaim = mayClaim;
  }

  /** Returns how much later than the largest host this one claims, in ms. */
  long claimDelayMillis() {
    double maxProcessors = Math.max(processors, hosts.maxProcessors());
    return maxProcessors <= 0
        ? 0
        : Math.round(MAX_CLAIM_DELAY_MILLIS * (1 - processors / maxProcessors));
  }

  /** Returns whether this host, which is the owner, is to hand over now. Asks other hosts. */
  synchronized boolean shouldHandOver(long nowMillis) {
    if (nowMillis < nextCheckMillis) {
      return false;
    }
    nextCheckMillis = nowMillis + CHECK_INTERVAL_MILLIS;
    List<String> candidates = hosts.otherAddressesWith(processors * MIN_HANDOVER_RATIO);
    boolean shouldHandOver = candidates.stream().limit(MAX_HOSTS_PER_CHECK).anyMatch(mayClaim);
    if (shouldHandOver) {
      nextCheckMillis = nowMillis + MIN_HANDOVER_INTERVAL_MILLIS;
    }
    return shouldHandOver;
  }
}
