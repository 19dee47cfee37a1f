package org.persimmonloom.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.LongUnaryOperator;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MembershipRulesTest {
  private static final long SEEN_MILLIS = 100_000;

  /**
   * Returns the names of the hosts that propose the loss of entry-8, by the time in milliseconds
   * since its last heartbeat.
   */
  private static TreeMap<Long, List<String>> proposals(LongUnaryOperator unrenewedMillis) {
    List<EntryHost> hosts = MemberFixtures.registered(8, SEEN_MILLIS);
    TreeMap<Long, List<String>> proposals = new TreeMap<>();
    for (String self : hosts.stream().map(EntryHost::name).limit(7).toList()) {
      LossDetector detector = new LossDetector(self);
      PeerView view = new PeerView();
      for (long silent = 0; silent <= 80_000; silent += 100) {
        long now = SEEN_MILLIS + silent;
        view.setPeers(hosts.stream().map(EntryHost::name).toList(), now);
        hosts.stream()
            .limit(7)
            .forEach(host -> view.receive(MemberFixtures.heartbeat(host.name(), 1, 1), now, true));
        long foldTime = SEEN_MILLIS + unrenewedMillis.applyAsLong(silent);
        for (EntryHostLost loss : detector.lossesToPropose(hosts, view, foldTime, now)) {
          assertThat(loss).isEqualTo(new EntryHostLost("entry-8", 1));
          proposals.computeIfAbsent(silent, unused -> new ArrayList<>()).add(self);
        }
      }
    }
    return proposals;
  }

  private static void assertOneHostProposesFirst(
      TreeMap<Long, List<String>> proposals, long firstMillis) {
    assertThat(proposals.firstKey()).isEqualTo(firstMillis);
    String first = proposals.firstEntry().getValue().get(0);
    assertThat(proposals.headMap(firstMillis + LossDetector.RANK_DELAY_MILLIS).values())
        .containsExactly(List.of(first));
    long lastMillis =
        firstMillis + 6 * LossDetector.RANK_DELAY_MILLIS + LossDetector.MAX_JITTER_MILLIS + 100;
    assertThat(proposals.headMap(lastMillis).values().stream().flatMap(List::stream).distinct())
        .hasSize(7);
  }

  /**
   * Guards against proposals that the fold would refuse, and against all hosts proposing at the
   * same time.
   */
  @Test
  void oneHostProposesALossFirst() {
    assertOneHostProposesFirst(proposals(silent -> silent), EntryHostTable.LOST_AFTER_MILLIS);
    assertOneHostProposesFirst(proposals(silent -> 60_000), PeerView.LOST_AFTER_MILLIS);
    assertThat(proposals(silent -> EntryHostTable.LOST_AFTER_MILLIS - 1)).isEmpty();
  }

  /**
   * Guards against simultaneous proposals when fold time advances in steps; they occurred with
   * eight processes.
   */
  @Test
  void oneHostProposesALossFirstWhenFoldTimeMovesInSteps() {
    assertOneHostProposesFirst(proposals(silent -> silent / 10_000 * 10_000), 30_000);
  }

  /**
   * Guards against late frames of an earlier incarnation that replace the heartbeat of the running
   * one.
   */
  @Test
  void earlierIncarnationDoesNotReplaceALaterOne() {
    PeerView view = new PeerView();
    view.receive(MemberFixtures.heartbeat("entry-2", 2, 50), 1_000, true);
    view.receive(MemberFixtures.heartbeat("entry-2", 1, 90), 2_000, true);
    view.receive(MemberFixtures.heartbeat("entry-2", 2, 40), 500, false);
    assertThat(view.find("entry-2").get().heartbeat().nextOffset()).isEqualTo(50);
    assertThat(view.isSuspect("entry-2", 3_000)).isFalse();
    assertThat(view.isSuspect("entry-2", 3_001)).isTrue();
  }

  /** Guards against declaring a host lost when it registers, before its first heartbeat. */
  @Test
  void silenceOfANewPeerCountsFromItsFirstAppearance() {
    PeerView view = new PeerView();
    view.setPeers(List.of("entry-2"), 5_000);
    view.setPeers(List.of("entry-2"), 9_000);
    assertThat(view.silentMillis("entry-2", 9_000)).isEqualTo(4_000);
    assertThat(view.isSuspect("entry-2", 9_000)).isTrue();
  }

  /** Guards against a silent peer that counts as alive after the local clock stepped back. */
  @Test
  void clockStepBackDoesNotHideASilentPeer() {
    PeerView view = new PeerView();
    view.setPeers(List.of("entry-2"), 500_000);
    view.receive(MemberFixtures.heartbeat("entry-2", 1, 1), 500_000, true);
    view.setPeers(List.of("entry-2"), 100_000);
    assertThat(view.isSuspect("entry-2", 100_000)).isTrue();
    assertThat(view.silentMillis("entry-2", 111_000)).isEqualTo(11_000);
    view.receive(MemberFixtures.heartbeat("entry-2", 1, 2), 101_000, true);
    assertThat(view.isSuspect("entry-2", 101_000)).isFalse();
  }

  /** Guards against a starting host that serves from an old state, or is never ready under load. */
  @Test
  void catchUpTargetIncludesOnlyTheFirstOffsetOfEachSource() {
    CatchUpTarget target = new CatchUpTarget();
    assertThat(target.isReached(1_000)).isFalse();
    target.observeLogEnd(10);
    target.observePeer("entry-2", 12);
    target.observePeer("entry-2", 90);
    target.observeLogEnd(90);
    assertThat(target.isReached(11)).isFalse();
    assertThat(target.isReached(12)).isTrue();
    target.observePeer("entry-3", 100);
    assertThat(target.isReached(12)).isTrue();
  }

  /**
   * Guards against a sparse mesh that is not connected, and against one with too many connections.
   */
  @Test
  void sparseMeshConnectsAllHosts() {
    for (int hosts = 1; hosts <= 64; hosts++) {
      List<String> names = IntStream.range(0, hosts).mapToObj(number -> "entry-" + number).toList();
      Set<String> reached = new TreeSet<>(Set.of("entry-0"));
      ArrayDeque<String> queue = new ArrayDeque<>(reached);
      while (!queue.isEmpty()) {
        String from = queue.poll();
        for (String to : names) {
          boolean isLinked =
              MeshPlan.peersOf(from, names).contains(to)
                  || MeshPlan.peersOf(to, names).contains(from);
          if (isLinked && reached.add(to)) {
            queue.add(to);
          }
        }
      }
      assertThat(reached).hasSize(hosts);
      int logarithm = (int) Math.ceil(Math.log(hosts) / Math.log(2));
      assertThat(MeshPlan.peersOf("entry-0", names))
          .hasSize(hosts <= MeshPlan.FULL_MESH_HOSTS ? hosts - 1 : logarithm + 1);
    }
  }
}
