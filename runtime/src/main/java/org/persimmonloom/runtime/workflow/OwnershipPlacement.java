package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.function.Predicate;

/**
 * Places the ownership of the fleet on the entry hosts with the most processor time.
 *
 * <p>The owner's work grows with the fleet, and the processor time of hosts differs by a factor of
 * several. A host with less than the maximum delays its claim, and an owner hands the ownership
 * over if a much larger host could claim it. Safe for any thread.
 */
final class OwnershipPlacement {
  /** Claim delay of a host with almost no processor time. */
  private static final long MAX_CLAIM_DELAY_MILLIS = 400;

  /**
   * Minimum ratio of the next owner's processor time to the current one's, since a handover
   * interrupts the owner's work.
   */
  private static final double MIN_HANDOVER_RATIO = 2;

  private static final long CHECK_INTERVAL_MILLIS = 2_000;

  /** Minimum time between two handovers by one host, since a candidate may fail to claim. */
  private static final long MIN_HANDOVER_INTERVAL_MILLIS = 30_000;

  /** Maximum number of hosts queried per check. */
  private static final int MAX_HOSTS_PER_CHECK = 3;

  /**
   * Age of its table from which an owner hands over. It exceeds the age at which other hosts stop
   * being candidates, 2.5 s, by a wait of the follower's reads, so that an outage of the whole
   * store leaves no candidate.
   */
  static final long OLD_TABLE_MILLIS = 3_600;

  private final HostDirectory hosts;
  private final double processors;
  private final Predicate<String> mayClaim;
  private long nextCheckMillis = Long.MIN_VALUE;

  /**
   * Creates the placement of one host.
   *
   * @param processors processor time of this host, in cores
   * @param mayClaim queries the host at an address whether it would claim the ownership
   */
  OwnershipPlacement(HostDirectory hosts, double processors, Predicate<String> mayClaim) {
    this.hosts = hosts;
    this.processors = processors;
    this.mayClaim = mayClaim;
  }

  /** Returns the claim delay of this host relative to the largest host, in ms. */
  long claimDelayMillis() {
    double maxProcessors = Math.max(processors, hosts.maxProcessors());
    return maxProcessors <= 0
        ? 0
        : Math.round(MAX_CLAIM_DELAY_MILLIS * (1 - processors / maxProcessors));
  }

  /**
   * Returns whether this host, as the owner, should hand over now. Blocks while it queries other
   * hosts.
   */
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

  /**
   * Returns whether this host, as the owner, should hand over since its table of the workflows is
   * old and that of a host that would claim is not. Blocks while it queries other hosts.
   */
  boolean shouldHandOverOldTable(long workflowsAgeMillis) {
    return workflowsAgeMillis >= OLD_TABLE_MILLIS
        && hosts.otherAddresses().stream().limit(MAX_HOSTS_PER_CHECK).anyMatch(this::isCandidate);
  }

  /** Asks a host, and prefers another one for the next check if it would not claim. */
  private boolean isCandidate(String address) {
    boolean isCandidate = mayClaim.test(address);
    if (!isCandidate) {
      hosts.recordFailure(address);
    }
    return isCandidate;
  }
}
