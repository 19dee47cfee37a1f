package org.persimmonloom.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.persimmonloom.core.member.CurrencyRule.Basis;

class CurrencyRuleTest {
  private static final long NOW = 1_000_000;
  private static final long NEVER = NOW - Heartbeat.NEVER;

  /**
   * A peer that was alive {@code aliveAgo} ms ago and read the log {@code readAgo} ms before that.
   */
  private record Peer(String name, long incarnation, long offset, long aliveAgo, long readAgo) {}

  private record Case(
      String guardsAgainst, long ownReadMillis, int registered, List<Peer> peers, Basis basis) {
    @Override
    public String toString() {
      return guardsAgainst;
    }
  }

  private static Peer peer(int number, long offset, long aliveAgo, long readAgo) {
    return new Peer("entry-" + number, 1, offset, aliveAgo, readAgo);
  }

  private static List<Peer> withoutLog(int count, long aliveAgo) {
    return IntStream.rangeClosed(2, count + 1)
        .mapToObj(number -> peer(number, 100, aliveAgo, 20_000))
        .toList();
  }

  static Stream<Case> cases() {
    return Stream.of(
        new Case(
            "a host that reads the log and is not current", NOW - 5_000, 8, List.of(), Basis.LOG),
        new Case("counting a read that is too old", NOW - 5_001, 8, List.of(), Basis.NONE),
        new Case("counting a read in the future", NOW + 1, 8, List.of(), Basis.NONE),
        new Case(
            "ignoring a peer that reads the log",
            NEVER,
            8,
            List.of(peer(2, 100, 1_000, 3_000)),
            Basis.PEER),
        new Case(
            "counting a peer that is ahead", NEVER, 8, List.of(peer(2, 101, 100, 100)), Basis.NONE),
        new Case(
            "not adding the age of the heartbeat to the age of the read",
            NEVER,
            8,
            List.of(peer(2, 100, 2_000, 3_001)),
            Basis.NONE),
        new Case(
            "no current host in an outage of the log", NEVER, 8, withoutLog(4, 500), Basis.QUORUM),
        new Case("half of the hosts counted as a quorum", NEVER, 8, withoutLog(3, 500), Basis.NONE),
        new Case(
            "counting peers that were alive too long ago",
            NEVER,
            8,
            withoutLog(7, 5_001),
            Basis.NONE),
        new Case(
            "a quorum with a peer that reads the log and is ahead",
            NEVER,
            8,
            Stream.concat(withoutLog(4, 500).stream(), Stream.of(peer(7, 101, 100, 100))).toList(),
            Basis.NONE),
        new Case(
            "a quorum with a peer that is ahead",
            NEVER,
            8,
            Stream.concat(withoutLog(4, 500).stream(), Stream.of(peer(7, 101, 100, 20_000)))
                .toList(),
            Basis.NONE),
        new Case(
            "other incarnations counted as part of the quorum",
            NEVER,
            3,
            List.of(new Peer("entry-2", 2, 100, 100, 20_000)),
            Basis.NONE),
        new Case(
            "a fleet of one host that is not current in an outage",
            NEVER,
            1,
            List.of(),
            Basis.QUORUM),
        new Case("a quorum of an empty fleet", NEVER, 0, List.of(), Basis.NONE));
  }

  /** Guards against the fault named by each case. */
  @ParameterizedTest
  @MethodSource("cases")
  void decides(Case input) {
    PeerView view = new PeerView();
    for (Peer peer : input.peers()) {
      Heartbeat heartbeat =
          new Heartbeat(
              peer.name(),
              peer.incarnation(),
              peer.offset(),
              1,
              peer.readAgo(),
              Map.of(),
              List.of(),
              List.of());
      view.receive(heartbeat, NOW - peer.aliveAgo(), true);
    }
    CurrencyRule.LocalState local =
        new CurrencyRule.LocalState("entry-1", 1, 100, input.ownReadMillis());
    CurrencyRule.Decision decision =
        CurrencyRule.decide(local, MemberFixtures.registered(input.registered(), 0), view, NOW);
    assertThat(decision.basis()).isEqualTo(input.basis());
    assertThat(decision.untilMillis() >= NOW).isEqualTo(input.basis() != Basis.NONE);
  }
}
