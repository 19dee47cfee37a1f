package org.persimmonloom.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.member.MeshPlan;
import org.persimmonloom.core.routing.ServiceLoad;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.log.LogMetrics;
import org.persimmonloom.runtime.log.LogPage;
import org.persimmonloom.runtime.log.LogStatus;
import org.persimmonloom.runtime.log.PlatformLog;
import org.persimmonloom.runtime.log.RecordWindow;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.settings.EntrySettings;

/** A sparse mesh in simulated time: heartbeats travel along the links of the plan only. */
class SparseClusterTest {
  private static final int HOSTS = 24;
  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);
  private final ReplicatedState state = new ReplicatedState();
  private final List<byte[]> records = new ArrayList<>();
  private final List<ClusterService> hosts = new ArrayList<>();
  private final List<String> names = new ArrayList<>();
  private long now = 1_700_000_000_000L;

  private final PlatformLog log =
      new PlatformLog() {
        @Override
        public long append(byte[] record) {
          throw new IllegalStateException("nothing is appended");
        }

        @Override
        public LogPage read(long fromOffset, int maxRecords, long waitMillis) {
          return new LogPage(
              0, records.size(), fromOffset, records.subList((int) fromOffset, records.size()));
        }
      };

  private void create() throws InterruptedException {
    InstantSource clock = () -> Instant.ofEpochMilli(now);
    LogMetrics metrics = new LogMetrics(new PrometheusRegistry());
    // The hosts share a status whose follower reads the log once and stops: an outage for all.
    LogStatus status = new LogStatus();
    for (int number = 0; number < HOSTS; number++) {
      String name = "entry-" + number;
      EntrySettings settings =
          new EntrySettings(
              name, "dc1", "local", ADDRESS, ADDRESS, ADDRESS, List.of(), "", "", "", 0, 0, 0);
      GroupCommitter committer = new GroupCommitter(log, state, settings, clock, status, metrics);
      EntryHostSeen seen = new EntryHostSeen("127.0.0.1:1", "127.0.0.1:1", "dc1");
      records.add(
          ProposalTypes.CODEC.encode(
              new Batch(name, committer.incarnation(), 1, 1, now, List.of(seen))));
      LoadSource loads = () -> Map.of("scan", new ServiceLoad(1, 2));
      hosts.add(
          new ClusterService(settings, state, committer, status, loads, new NoneLeaving(), clock));
      names.add(name);
    }
    LogFollower follower =
        new LogFollower(
            log, state, status, new RecordWindow(), offset -> Optional.empty(), metrics, clock);
    follower.start();
    long end = System.nanoTime() + 60_000_000_000L;
    while (status.readMillis().isEmpty()) {
      assertThat(System.nanoTime()).isLessThan(end);
      Thread.sleep(5);
    }
    follower.stop();
  }

  private record NoneLeaving() implements LeavingSource {
    @Override
    public List<String> leaving() {
      return List.of();
    }

    @Override
    public List<String> drained() {
      return List.of();
    }
  }

  private void exchangeHeartbeats() {
    now += PeerMesh.HEARTBEAT_MILLIS;
    hosts.forEach(host -> host.tick(now));
    for (int from = 0; from < HOSTS; from++) {
      ClusterService sender = hosts.get(from);
      for (int to = 0; to < HOSTS; to++) {
        boolean isLinked =
            MeshPlan.peersOf(names.get(from), names).contains(names.get(to))
                || MeshPlan.peersOf(names.get(to), names).contains(names.get(from));
        if (from != to && isLinked) {
          ClusterService receiver = hosts.get(to);
          receiver.heard(sender.heartbeat(now), now, true);
          sender
              .relayedTo(names.get(to), now)
              .forEach(
                  relayed -> receiver.heard(relayed.heartbeat(), now - relayed.agoMillis(), false));
        }
      }
    }
  }

  private void assertAllCurrentUntilTheNextHeartbeat() {
    long beatMillis = now;
    for (long millis = 0; millis < PeerMesh.HEARTBEAT_MILLIS; millis += 100) {
      now = beatMillis + millis;
      assertThat(hosts).allMatch(ClusterService::isCurrent);
    }
    now = beatMillis;
  }

  /**
   * Guards against hosts that come and go in a sparse mesh, and that refuse in an outage of the
   * log, even between two heartbeats when the last read becomes too old; seen with eight processes.
   */
  @Test
  void everyHostStaysLiveAndCurrentForEveryOther() throws InterruptedException {
    create();
    for (int round = 0; round < 660; round++) {
      exchangeHeartbeats();
      assertAllCurrentUntilTheNextHeartbeat();
      if (round >= 60) {
        assertThat(hosts).allMatch(host -> host.live().size() == HOSTS);
      }
    }
    assertThat(hosts.get(0).live().get(5).loads()).containsKey("scan");
  }

  /** Guards against a host that takes buffered knowledge for fresh when it resumes. */
  @Test
  void pausedProcessIsNotCurrentWhenItResumes() throws InterruptedException {
    create();
    exchangeHeartbeats();
    now += 30_000;
    assertThat(hosts).noneMatch(ClusterService::isCurrent);
  }
}
