package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.runtime.settings.EntrySettings;

/** The log side of one entry host on a {@link FakeLog}. */
final class TestReplica {
  static final long GENEROUS_MILLIS = 60_000;

  final ReplicatedState state = new ReplicatedState();
  final LogStatus status = new LogStatus();
  final LogMetrics metrics = new LogMetrics(new PrometheusRegistry());
  final RecordWindow window = new RecordWindow();
  final GroupCommitter committer;
  final LogFollower follower;
  final SnapshotWriter snapshots;
  private final String name;
  private final AtomicLong aheadMillis = new AtomicLong();
  private int claims;

  TestReplica(String name, PlatformLog log, long retentionMillis, RecordSource peers) {
    this.name = name;
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    EntrySettings settings =
        new EntrySettings(
            name,
            "dc1",
            "local",
            address,
            address,
            address,
            List.of(),
            "",
            "",
            "",
            0,
            0,
            retentionMillis);
    InstantSource clock = InstantSource.system();
    committer =
        new GroupCommitter(log, state, settings, clock, status, metrics, this::steadyMillis);
    snapshots = new SnapshotWriter(state, committer, status, metrics, settings, clock);
    follower = new LogFollower(log, state, status, window, peers, metrics, clock);
  }

  static TestReplica started(String name, PlatformLog log) {
    TestReplica replica =
        new TestReplica(name, log, Long.MAX_VALUE / 2, offset -> Optional.empty());
    replica.start();
    return replica;
  }

  void start() {
    follower.start();
    committer.start();
  }

  void stop() throws InterruptedException {
    snapshots.stop();
    committer.stop();
    follower.stop();
  }

  private long steadyMillis() {
    return System.nanoTime() / 1_000_000 + aheadMillis.get();
  }

  /** Moves the committer's steady clock ahead. */
  void advance(long millis) {
    aheadMillis.addAndGet(millis);
  }

  /** Returns the next claim of this host. */
  ClaimRequested claim() {
    claims++;
    String key = System.currentTimeMillis() + "-" + name + "0000" + claims;
    return new ClaimRequested("pickup", key, 1, name + "-" + claims, null);
  }

  boolean holds(ClaimRequested claim) {
    return state.read(fleet -> fleet.claims().find("pickup", claim.key())).isPresent();
  }

  boolean isRegistered() {
    return state.read(fleet -> fleet.entryHosts().isLive(name, committer.incarnation()));
  }

  byte[] encoded() {
    return ProposalTypes.CODEC.encode(state.read(FleetState::snapshot));
  }

  static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + GENEROUS_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("condition within the limit").isLessThan(end);
      Thread.sleep(5);
    }
  }
}
