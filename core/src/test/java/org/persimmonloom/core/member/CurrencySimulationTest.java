package org.persimmonloom.core.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Simulates eight hosts that exchange delayed heartbeats while the log grows. */
class CurrencySimulationTest {
  private static final int HOSTS = 8;
  private static final long STEP_MILLIS = 100;
  private static final long HEARTBEAT_MILLIS = 500;

  private final Random random = new Random(5);
  private final List<EntryHost> registered = MemberFixtures.registered(HOSTS, 0);
  private final List<SimulatedHost> hosts = new ArrayList<>();
  private long now = 1_000_000;
  private long logEnd = 10;

  private static final class SimulatedHost {
    private final PeerView view = new PeerView();
    private long nextOffset;
    private long readMillis;
    private boolean hasLog = true;
    private boolean hasPeers = true;
    private boolean isPaused;
  }

  @BeforeEach
  void create() {
    for (int index = 0; index < HOSTS; index++) {
      hosts.add(new SimulatedHost());
    }
    run(2_000);
  }

  private String name(int index) {
    return registered.get(index).name();
  }

  private void run(long millis) {
    for (long end = now + millis; now < end; now += STEP_MILLIS) {
      logEnd += hosts.stream().anyMatch(host -> host.hasLog) ? random.nextInt(3) : 0;
      hosts.stream().filter(host -> !host.isPaused).forEach(this::readRecords);
      if (now % HEARTBEAT_MILLIS == 0) {
        sendHeartbeats();
      }
    }
  }

  private void readRecords(SimulatedHost host) {
    if (host.hasLog) {
      host.nextOffset = logEnd;
      host.readMillis = now;
    } else if (host.hasPeers) {
      host.nextOffset =
          host.view.heartbeats().stream()
              .mapToLong(received -> received.heartbeat().nextOffset())
              .reduce(host.nextOffset, Math::max);
    }
  }

  private void sendHeartbeats() {
    for (int from = 0; from < HOSTS; from++) {
      SimulatedHost sender = hosts.get(from);
      Heartbeat heartbeat =
          new Heartbeat(
              name(from),
              1,
              sender.nextOffset,
              1,
              now - sender.readMillis,
              Map.of(),
              List.of(),
              List.of());
      for (SimulatedHost receiver : hosts) {
        boolean arrives =
            sender.hasPeers && receiver.hasPeers && !sender.isPaused && !receiver.isPaused;
        if (receiver != sender && arrives) {
          receiver.view.receive(heartbeat, now - random.nextInt(600), true);
        }
      }
    }
  }

  private CurrencyRule.Basis basis(int index) {
    SimulatedHost host = hosts.get(index);
    CurrencyRule.LocalState local =
        new CurrencyRule.LocalState(name(index), 1, host.nextOffset, host.readMillis);
    return CurrencyRule.decide(local, registered, host.view, now).basis();
  }

  private boolean isCurrent(int index) {
    return basis(index) != CurrencyRule.Basis.NONE;
  }

  /**
   * Guards against a disconnected host that serves from an old state while the others make
   * decisions without it.
   */
  @Test
  void hostCutOffFromLogAndPeersIsNotCurrentAfterFiveSeconds() {
    hosts.get(0).hasLog = false;
    hosts.get(0).hasPeers = false;
    run(CurrencyRule.CURRENT_FOR_MILLIS + STEP_MILLIS);
    assertThat(isCurrent(0)).isFalse();
    for (int index = 1; index < HOSTS; index++) {
      assertThat(basis(index)).isEqualTo(CurrencyRule.Basis.LOG);
    }
  }

  /**
   * Guards against refusals by all hosts in an outage of the log, and against half of the hosts
   * that stay current without the other half.
   */
  @Test
  void outageOfTheLogLeavesOnlyAMajorityCurrent() {
    hosts.forEach(host -> host.hasLog = false);
    for (int step = 0; step < 600; step++) {
      run(STEP_MILLIS);
      for (int index = 0; index < HOSTS; index++) {
        assertThat(isCurrent(index)).isTrue();
      }
    }
    hosts.subList(0, 4).forEach(host -> host.hasPeers = false);
    run(CurrencyRule.CURRENT_FOR_MILLIS + 1_000);
    for (int index = 0; index < HOSTS; index++) {
      assertThat(isCurrent(index)).isFalse();
    }
  }

  /**
   * Guards against refusals by a host that has no access to the log but gets the records from a
   * peer.
   */
  @Test
  void hostWithoutTheLogStaysCurrentThroughItsPeers() {
    hosts.get(0).hasLog = false;
    int currentSteps = 0;
    for (int step = 0; step < 300; step++) {
      run(STEP_MILLIS);
      currentSteps += isCurrent(0) ? 1 : 0;
    }
    assertThat(currentSteps).isEqualTo(300);
  }

  /**
   * Guards against a host that accepts requests on the state from before a pause of the process.
   */
  @Test
  void pausedHostIsNotCurrentWhenItResumes() {
    hosts.get(0).isPaused = true;
    run(30_000);
    assertThat(isCurrent(0)).isFalse();
    hosts.get(0).isPaused = false;
    run(STEP_MILLIS);
    assertThat(isCurrent(0)).isTrue();
    assertThat(hosts.get(0).nextOffset).isEqualTo(logEnd);
  }
}
