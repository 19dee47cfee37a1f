package org.persimmonloom.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class MembershipRulesTest {
  private static final long SEEN = 100_000;

  /** Returns which hosts propose entry-8 as lost when it was silent for the given time. */
  private static List<String> proposers(long silentMillis, long unrenewedMillis) {
    List<EntryHost> hosts = MemberFixtures.registered(8, SEEN);
    long now = SEEN + silentMillis;
    PeerView view = new PeerView();
    hosts.forEach(host -> view.hear(MemberFixtures.heartbeat(host.name(), 1, 1), now, true));
    PeerView partial = new PeerView();
    partial.setPeers(hosts.stream().map(EntryHost::name).toList(), SEEN);
    view.all().stream()
        .filter(heard -> !heard.heartbeat().name().equals("entry-8"))
        .forEach(heard -> partial.hear(heard.heartbeat(), now, true));
    return IntStream.rangeClosed(1, 7)
        .mapToObj(number -> "entry-" + number)
        .filter(
            self ->
                LossRule.due(self, hosts, partial, SEEN + unrenewedMillis, now).stream()
                    .anyMatch(loss -> loss.name().equals("entry-8")))
        .toList();
  }

  /** Guards against proposals that the fold refuses, and against all hosts proposing at once. */
  @Test
  void oneHostProposesALossFirst() {
    assertThat(proposers(9_999, 60_000)).isEmpty();
    assertThat(proposers(60_000, EntryHostTable.LOST_AFTER_MILLIS - 1)).isEmpty();
    assertThat(proposers(60_000, EntryHostTable.LOST_AFTER_MILLIS)).hasSize(1);
    assertThat(proposers(10_000, 60_000)).hasSize(1);
    assertThat(proposers(10_000 + 8 * 3_000, 80_000)).hasSize(7);
  }

  /** Guards against late frames of an ended process that hide the running one. */
  @Test
  void earlierIncarnationDoesNotReplaceALaterOne() {
    PeerView view = new PeerView();
    view.hear(MemberFixtures.heartbeat("entry-2", 2, 50), 1_000, true);
    view.hear(MemberFixtures.heartbeat("entry-2", 1, 90), 2_000, true);
    view.hear(MemberFixtures.heartbeat("entry-2", 2, 40), 500, false);
    assertThat(view.find("entry-2").get().heartbeat().nextOffset()).isEqualTo(50);
    assertThat(view.isSuspect("entry-2", 3_000)).isFalse();
    assertThat(view.isSuspect("entry-2", 3_001)).isTrue();
  }

  /** Guards against a host that is lost the moment it registers, before its first heartbeat. */
  @Test
  void newPeerCountsAsHeardWhenItAppears() {
    PeerView view = new PeerView();
    view.setPeers(List.of("entry-2"), 5_000);
    view.setPeers(List.of("entry-2"), 9_000);
    assertThat(view.silentMillis("entry-2", 9_000)).isEqualTo(4_000);
    assertThat(view.isSuspect("entry-2", 9_000)).isTrue();
  }

  /** Guards against a starting host that serves an old state, or is never ready under load. */
  @Test
  void goalTakesInTheFirstOffsetOfEachSource() {
    CatchUpGoal goal = new CatchUpGoal();
    assertThat(goal.isReached(1_000)).isFalse();
    goal.logShows(10);
    goal.peerShows("entry-2", 12);
    goal.peerShows("entry-2", 90);
    goal.logShows(90);
    assertThat(goal.isReached(11)).isFalse();
    assertThat(goal.isReached(12)).isTrue();
    goal.peerShows("entry-3", 100);
    assertThat(goal.isReached(12)).isTrue();
  }

  /** Guards against a sparse mesh that falls into parts, and against one that is not sparse. */
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
