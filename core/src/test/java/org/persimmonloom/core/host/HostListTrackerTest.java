package org.persimmonloom.core.host;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Proposal;

class HostListTrackerTest {
  private final HostListTracker tracker = new HostListTracker();
  private final List<Host> known = new ArrayList<>();

  /** Twelve hosts in three racks of four, each rack in a data centre of its own. */
  HostListTrackerTest() {
    IntStream.range(0, 12)
        .mapToObj(i -> facts("h" + (char) ('a' + i), "r" + i / 4))
        .forEach(facts -> known.add(new Host(facts, "a", HostState.AVAILABLE, 5, 0)));
  }

  private static HostFacts facts(String name, String rack) {
    return new HostFacts(
        name, HostKind.EXECUTOR, "10.0.0.1:1", rack, "dc-" + rack, "r", 8, 1_024, 0, "a");
  }

  private HostListTracker.Evaluation read(long now, String... absent) {
    return read(now, Set.of(), absent);
  }

  private HostListTracker.Evaluation read(long now, Set<String> leaving, String... absent) {
    List<HostFacts> live =
        known.stream()
            .filter(host -> !List.of(absent).contains(host.name()))
            .map(Host::facts)
            .toList();
    return tracker.evaluate(live, leaving, known, pool -> pool.equals("a"), now);
  }

  private void replace(String name, HostState state, Drain drain, boolean unlisted) {
    known.replaceAll(
        host ->
            host.name().equals(name)
                ? new Host(host.facts(), "a", state, 9, 0, drain, unlisted)
                : host);
  }

  /** Guards against marking a host as lost because a single reading lacked it. */
  @Test
  void hostIsLostOnlyIfMissingForTenSeconds() {
    assertThat(read(0, "ha").proposals()).isEmpty();
    assertThat(read(9_999, "ha").proposals()).isEmpty();
    assertThat(read(10_000, "ha").proposals()).singleElement().isInstanceOf(HostLost.class);
    assertThat(read(11_000).proposals()).isEmpty();
    assertThat(read(12_000, "ha").proposals()).isEmpty();
  }

  /** Guards against lost hosts, and thus moves of hosts, when a wrong list lacks a whole rack. */
  @Test
  void hostsMissingInMassEventAreUnlistedInsteadOfLost() {
    HostListTracker.Evaluation first = read(0, "ha", "hb", "hc");
    assertThat(first.massEvents()).anyMatch(text -> text.startsWith("rack dc-r0/r0: 3 of 4"));
    HostsUnlisted unlisted = (HostsUnlisted) first.proposals().get(0);
    assertThat(unlisted.hosts()).containsExactly("ha", "hb", "hc");
    List.of("ha", "hb", "hc").forEach(name -> replace(name, HostState.AVAILABLE, null, true));
    assertThat(read(60_000, "ha", "hb", "hc").proposals()).isEmpty();
    assertThat(read(61_000, "ha").proposals())
        .containsExactly(new HostsUnlisted(List.of("hb", "hc"), "the list", false));
    assertThat(read(71_000, "ha").proposals()).anyMatch(HostLost.class::isInstance);
  }

  /** Guards against mistaking two independent failures in a rack of four for a wrong list. */
  @Test
  void twoMissingHostsOfOneRackAreNoMassEvent() {
    read(0, "ha", "hb");
    assertThat(read(10_000, "ha", "hb").proposals())
        .hasSize(2)
        .allMatch(HostLost.class::isInstance);
  }

  /** Guards against missing a mass event because its hosts disappear over several readings. */
  @Test
  void hostsMissingSinceDifferentReadingsAreCountedTogether() {
    read(0, "ha");
    read(1_000, "ha", "he");
    read(2_000, "ha", "he", "hi");
    assertThat(read(3_000, "ha", "he", "hi", "hf").massEvents()).isNotEmpty();
    assertThat(read(10_000, "ha", "he", "hi", "hf").proposals())
        .noneMatch(HostLost.class::isInstance);
  }

  /**
   * Guards against hosts of a failed rack that never become lost, and against hosts that become
   * lost because the list is empty.
   */
  @Test
  void missingRackIsLostAfterLimitButEmptyListLosesNoHost() {
    long limit = HostListTracker.RACK_CONFIRM_MILLIS;
    HostListTracker rackTracker = new HostListTracker();
    List<Host> oneDataCentre = known.stream().map(host -> inDataCentre(host, "dc")).toList();
    List<HostFacts> live = oneDataCentre.subList(3, 12).stream().map(Host::facts).toList();
    rackTracker.evaluate(live, Set.of(), oneDataCentre, pool -> true, 0);
    List<Proposal> proposals =
        rackTracker.evaluate(live, Set.of(), oneDataCentre, pool -> true, limit).proposals();
    assertThat(proposals).hasSize(3).allMatch(HostLost.class::isInstance);
    tracker.evaluate(Collections.emptyList(), Set.of(), known, pool -> true, 0);
    assertThat(
            tracker
                .evaluate(Collections.emptyList(), Set.of(), known, pool -> true, limit * 10)
                .proposals())
        .noneMatch(HostLost.class::isInstance);
  }

  private static Host inDataCentre(Host host, String dataCentre) {
    HostFacts old = host.facts();
    HostFacts facts =
        new HostFacts(
            old.name(), old.kind(), old.address(), old.rack(), dataCentre, "r", 8, 1_024, 0, "a");
    return new Host(facts, "a", host.state(), 5, 0);
  }

  /**
   * Guards against counting a host in maintenance as missing, and against marking it as returned
   * before it went down.
   */
  @Test
  void downHostIsNotLostAndReturnsOnceListedAgain() {
    replace("ha", HostState.DOWN, Drain.unconfirmed(Drain.Cause.WAVE, "w", 8, 5_000), false);
    assertThat(read(1_000).proposals()).isEmpty();
    assertThat(read(2_000, "ha").proposals()).isEmpty();
    assertThat(read(3_000).proposals()).containsExactly(new HostReturned("ha", 9));
  }

  /** Guards against a host that stays down because its reboot fell between two readings. */
  @Test
  void downHostThatStaysListedReturnsAfterExpectedTime() {
    replace("ha", HostState.DOWN, Drain.unconfirmed(Drain.Cause.WAVE, "w", 8, 5_000), false);
    assertThat(read(14_999).proposals()).isEmpty();
    assertThat(read(15_000).proposals()).containsExactly(new HostReturned("ha", 9));
  }

  /** Guards against new work on a host that the platform is about to take away. */
  @Test
  void leavingHostIsDrainedUntilNoLongerMarkedAsLeaving() {
    assertThat(read(0, Set.of("ha")).proposals()).containsExactly(new HostLeaving("ha", 5));
    replace("ha", HostState.DRAINING, Drain.unconfirmed(Drain.Cause.LEAVING, "", 9, 0), false);
    assertThat(read(1_000, Set.of("ha")).proposals()).isEmpty();
    assertThat(read(2_000).proposals()).singleElement().isInstanceOf(DrainCancelled.class);
  }
}
