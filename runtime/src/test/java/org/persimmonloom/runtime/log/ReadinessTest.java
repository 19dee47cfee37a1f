package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.entry.HostReadiness;
import org.persimmonloom.runtime.entry.PlannedStop;
import org.persimmonloom.runtime.peer.ClusterService;
import org.persimmonloom.runtime.peer.LeavingSource;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Readiness and admission of one entry host follow its registration in the fold. */
class ReadinessTest {
  private final FakeLog log = new FakeLog();
  private final TestReplica replica =
      new TestReplica("entry-1", log, Long.MAX_VALUE / 2, offset -> Optional.empty());
  private final AtomicLong aheadMillis = new AtomicLong();
  private final InstantSource clock = () -> Instant.now().plusMillis(aheadMillis.get());
  private final ClusterService cluster = cluster();
  private final HostReadiness readiness =
      new HostReadiness(new PlannedStop(), replica.status, cluster);

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

  private ClusterService cluster() {
    InetSocketAddress address = new InetSocketAddress("127.0.0.1", 1);
    EntrySettings settings =
        new EntrySettings(
            "entry-1", "dc1", "local", address, address, address, List.of(), "", "", "", 0, 0, 0);
    return new ClusterService(
        settings,
        replica.state,
        replica.committer,
        replica.status,
        () -> Map.of(),
        new NoneLeaving(),
        clock);
  }

  @AfterEach
  void stop() throws InterruptedException {
    replica.stop();
  }

  private Optional<ResultCode> refusal() {
    cluster.tick(clock.millis());
    return readiness.reasonRefused().map(Failure::code);
  }

  private boolean isRefusedAsUnregistered() {
    return refusal().equals(Optional.of(ResultCode.NOT_REGISTERED));
  }

  /** Guards against a host that serves while a drain granted meanwhile would not wait for it. */
  @Test
  void hostServesOnlyOnceItsRegistrationIsFolded() throws InterruptedException {
    CountDownLatch gate = log.holdAppends();
    replica.start();
    TestReplica.await(this::isRefusedAsUnregistered);
    gate.countDown();
    TestReplica.await(() -> refusal().isEmpty());
    assertThat(replica.isRegistered()).isTrue();
  }

  /** Guards against an outage of the log that takes a registered host out of service. */
  @Test
  void registrationOutlastsAnOutageOfTheLog() throws InterruptedException {
    replica.start();
    TestReplica.await(() -> refusal().isEmpty());
    log.setReadable(false);
    log.failAppends(FakeLog.AppendFault.REFUSED, Integer.MAX_VALUE);
    int appends = log.appends();
    replica.advance(60_000);
    TestReplica.await(() -> log.appends() > appends);
    aheadMillis.set(60_000);
    assertThat(refusal()).isEmpty();
  }

  /** Guards against a host that serves on after the fold ended its claims and its confirmations. */
  @Test
  void lostHostServesOnlyAfterItRegisteredAgain() throws InterruptedException {
    replica.start();
    TestReplica.await(() -> refusal().isEmpty());
    final long old = replica.committer.incarnation();
    CountDownLatch gate = log.holdAppends();
    long now = System.currentTimeMillis() + 30_000;
    addBatch(new Batch("entry-9", 1, 1, 1, now, List.of(new EntryHostSeen("a", "b", "dc1"))));
    addBatch(new Batch("entry-9", 1, 2, 1, now, List.of(new EntryHostLost("entry-1", old))));
    TestReplica.await(this::isRefusedAsUnregistered);
    assertThat(readiness.reasonNotReady()).isPresent();
    gate.countDown();
    TestReplica.await(() -> refusal().isEmpty());
    assertThat(replica.committer.incarnation()).isGreaterThan(old);
  }

  private void addBatch(Batch batch) {
    log.add(ProposalTypes.CODEC.encode(batch));
  }
}
