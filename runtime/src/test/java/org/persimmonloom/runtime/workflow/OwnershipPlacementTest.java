package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an owner with too little processor time, which delays the whole fleet. */
class OwnershipPlacementTest {
  private final HostDirectory hosts = new HostDirectory("own");
  private final Set<String> claimingAddresses = new HashSet<>();
  private final OwnershipPlacement placement =
      new OwnershipPlacement(hosts, 0.36, claimingAddresses::contains);

  private void register(String name, String address, double processors) {
    HostRecord host = new HostRecord(address, processors);
    hosts.apply(new StoredRecord(0, new HostDirectory(name).registration(host)));
  }

  @Test
  void largestHostClaimsWithoutDelay() {
    register("own", "own:1", 0.36);
    register("other", "other:1", 0.36);
    assertThat(placement.claimDelayMillis()).isZero();
  }

  @Test
  void claimDelayIncreasesWithProcessorTimeOfLargestHost() {
    register("middle", "middle:1", 0.72);
    long delayBesideMiddle = placement.claimDelayMillis();
    register("large", "large:1", 1.5);
    assertThat(delayBesideMiddle).isPositive().isLessThan(placement.claimDelayMillis());
  }

  @Test
  void ownerHandsOverOnlyToMuchLargerHostThatWouldClaim() {
    register("middle", "middle:1", 0.5);
    register("large", "large:1", 1.5);
    claimingAddresses.add("middle:1");
    assertThat(placement.shouldHandOver(0)).isFalse();
    claimingAddresses.add("large:1");
    assertThat(placement.shouldHandOver(2_000)).isTrue();
  }

  /**
   * Guards against an owner that keeps the ownership while it learns of no cancellation, and
   * against a handover in an outage of the whole store.
   */
  @Test
  void ownerHandsOverAnOldTableOnlyToHostThatWouldClaim() {
    register("middle", "middle:1", 0.1);
    long oldMillis = OwnershipPlacement.OLD_TABLE_MILLIS;
    assertThat(placement.shouldHandOverOldTable(oldMillis)).isFalse();
    claimingAddresses.add("middle:1");
    assertThat(placement.shouldHandOverOldTable(oldMillis - 1)).isFalse();
    assertThat(placement.shouldHandOverOldTable(oldMillis)).isTrue();
  }

  /** Guards against hosts that were killed and hide the one that would claim. */
  @Test
  void candidatesForAnOldTableAreAskedInTurn() {
    for (int number = 1; number <= 8; number++) {
      register("host" + number, "host" + number + ":1", 0.36);
    }
    claimingAddresses.add("host7:1");
    boolean isFound = false;
    for (int check = 0; check < 8 && !isFound; check++) {
      isFound = placement.shouldHandOverOldTable(OwnershipPlacement.OLD_TABLE_MILLIS);
    }
    assertThat(isFound).isTrue();
  }

  /** Guards against frequent handovers. */
  @Test
  void handoversOfOneHostKeepMinimumInterval() {
    register("large", "large:1", 1.5);
    claimingAddresses.add("large:1");
    assertThat(placement.shouldHandOver(0)).isTrue();
    assertThat(placement.shouldHandOver(10_000)).isFalse();
    assertThat(placement.shouldHandOver(30_000)).isTrue();
  }
}
