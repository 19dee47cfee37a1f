package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/** Tests which of two hosts owns the fleet if reads of the workflows fail on one or both. */
class OldTableHandoverTest {
  private static final TableRecord CONFIGURATION = new TableRecord("config", new byte[] {1});

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final LateReadsLog firstLog = new LateReadsLog(log);
  private final LateReadsLog secondLog = new LateReadsLog(log);
  private WorkflowHost first;
  private WorkflowHost second;

  private static InetSocketAddress freeAddress() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket socket = new ServerSocket(0, 1, loopback)) {
      return new InetSocketAddress(loopback, socket.getLocalPort());
    }
  }

  private static WorkflowHost host(String name, KeyedLog ownLog) throws IOException {
    return new WorkflowHost(
        name,
        1,
        ownLog,
        null,
        new OwnerSessionTest.EmptyMachineService(),
        request -> Optional.empty(),
        new OwnerSessionTest.FixedConfigurationDecoder(),
        new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000),
        new PeerClient(new OkHttpClient()),
        freeAddress(),
        1,
        WorkflowHost.steadyClock());
  }

  @BeforeEach
  void startHosts() throws Exception {
    log.append(Table.OPERATIONS, new KeyedLog.Sequence("operator", 1, 1), List.of(CONFIGURATION));
    first = host("first", firstLog);
    second = host("second", secondLog);
    first.start();
    assertThat(isOwner("first", 5_000)).isTrue();
    second.start();
    // Until both know each other.
    TimeUnit.MILLISECONDS.sleep(1_500);
  }

  @AfterEach
  void stopHosts() throws Exception {
    firstLog.reads = LateReadsLog.Reads.USUAL;
    secondLog.reads = LateReadsLog.Reads.USUAL;
    for (WorkflowHost host : List.of(first, second)) {
      host.prepareStop();
      host.stop();
    }
  }

  /** Returns whether the newest record names the host as the owner before the time has passed. */
  private boolean isOwner(String name, long maxMillis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
    boolean isOwner = isOwner(name);
    while (!isOwner && System.nanoTime() < endNanos) {
      TimeUnit.MILLISECONDS.sleep(20);
      isOwner = isOwner(name);
    }
    return isOwner;
  }

  private boolean isOwner(String name) {
    List<TableRecord> records = log.records(Table.OWNERSHIP);
    if (records.isEmpty()) {
      return false;
    }
    OwnershipRecord newest =
        new Codec(Map.of())
            .decode(records.get(records.size() - 1).value(), OwnershipRecord.class)
            .get();
    return newest.host().equals(name) && !newest.isReleased();
  }

  /**
   * Guards against an owner that keeps the fleet while it learns of no cancellation: tasks of
   * cancelled workflows run on.
   */
  @Test
  void ownerWithOldTableHandsOverAndDoesNotClaimAgain() throws Exception {
    firstLog.reads = LateReadsLog.Reads.FAILING;
    assertThat(isOwner("second", 8_000)).isTrue();
    assertThat(isOwner("first", 6_000)).isFalse();
    assertThat(isOwner("second")).isTrue();
  }

  /** Guards against a fleet without an owner if no host could do better. */
  @Test
  void ownerWithOldTableStaysIfNoOtherIsCurrent() throws Exception {
    firstLog.reads = LateReadsLog.Reads.FAILING;
    secondLog.reads = LateReadsLog.Reads.FAILING;
    assertThat(isOwner("second", 8_000)).isFalse();
    assertThat(isOwner("first")).isTrue();
  }

  /** Guards against a host that claims the fleet and can't decide, as it reads no workflows. */
  @Test
  void hostWithOldTableDoesNotClaimAfterTheOwnerStops() throws Exception {
    secondLog.reads = LateReadsLog.Reads.HANGING;
    TimeUnit.MILLISECONDS.sleep(3_000);
    first.prepareStop();
    assertThat(isOwner("second", 3_000)).isFalse();
    secondLog.reads = LateReadsLog.Reads.USUAL;
    assertThat(isOwner("second", 3_000)).isTrue();
  }
}
