package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.persimmonloom.runtime.log.TestReplica.GENEROUS_MILLIS;
import static org.persimmonloom.runtime.log.TestReplica.await;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.fold.SnapshotAssembler;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.ResultCode;

class LogReplicationTest {
  private static final EntryHostSeen SEEN = new EntryHostSeen("127.0.0.1:1", "127.0.0.1:1", "dc1");
  private final FakeLog log = new FakeLog();
  private final List<TestReplica> replicas = new ArrayList<>();

  private TestReplica start(String name) throws InterruptedException {
    TestReplica replica = TestReplica.started(name, log);
    replicas.add(replica);
    await(replica::isRegistered);
    return replica;
  }

  @AfterEach
  void stop() throws InterruptedException {
    log.setReadable(true);
    for (TestReplica replica : replicas) {
      replica.stop();
    }
  }

  private static ProposalResult verdict(CompletableFuture<List<ProposalResult>> future)
      throws Exception {
    return future.get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS).get(0);
  }

  private void append(String author, long sequence, long timeMillis, Proposal... proposals)
      throws Exception {
    append(new Batch(author, 1, sequence, 1, timeMillis, List.of(proposals)));
  }

  private void append(Batch batch) throws Exception {
    log.append(ProposalTypes.CODEC.encode(batch));
  }

  /** Appends past the gate that holds the host's own appends. */
  private void appendNow(Batch batch) {
    log.add(ProposalTypes.CODEC.encode(batch));
  }

  private static void assertFailure(CompletableFuture<?> future, ResultCode code) {
    assertThatThrownBy(() -> future.get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS))
        .hasCauseInstanceOf(ProposalException.class)
        .satisfies(
            error ->
                assertThat(((ProposalException) error.getCause()).failure().code())
                    .isEqualTo(code));
  }

  /** Guards against proposals that are lost or fail because an append did, and an ended cycle. */
  @ParameterizedTest
  @EnumSource(FakeLog.AppendFault.class)
  void proposalsOutliveFaultsOfAppends(FakeLog.AppendFault fault) throws Exception {
    TestReplica replica = start("entry-1");
    log.failAppends(fault, 2);
    ClaimRequested first = replica.claim();
    assertThat(verdict(replica.committer.propose(List.of(first))).isAccepted()).isTrue();
    ClaimRequested second = replica.claim();
    assertThat(verdict(replica.committer.propose(List.of(second))).isAccepted()).isTrue();
    byte[] before = replica.encoded();
    long landed = log.records().size();
    log.landAbandoned();
    log.append(log.records().get(1));
    await(() -> replica.state.nextOffset() > landed);
    FleetState other = new FleetState();
    List<byte[]> records = log.records();
    for (int offset = 0; offset < landed; offset++) {
      other.apply(offset, ProposalTypes.CODEC.decode(records.get(offset), Batch.class).get());
    }
    assertThat(ProposalTypes.CODEC.encode(other.snapshot())).isEqualTo(before);
    assertThat(replica.holds(first) && replica.holds(second)).isTrue();
  }

  /** Guards against hosts that stop following after an outage. */
  @Test
  void replicasCatchUpAfterAnOutage() throws Exception {
    TestReplica replica = start("entry-1");
    log.setReadable(false);
    log.failAppends(FakeLog.AppendFault.REFUSED, 3);
    CompletableFuture<List<ProposalResult>> future =
        replica.committer.propose(List.of(replica.claim()));
    await(() -> log.appends() >= 4);
    log.setReadable(true);
    assertThat(verdict(future).isAccepted()).isTrue();
  }

  /** Guards against a claim that takes effect after its proposer was told that it did not. */
  @Test
  void pausedHostThatWasDeclaredLostTakesANewIncarnation() throws Exception {
    TestReplica replica = start("entry-1");
    final long old = replica.committer.incarnation();
    CountDownLatch paused = log.holdAppends();
    ClaimRequested lost = replica.claim();
    CompletableFuture<List<ProposalResult>> pending = replica.committer.propose(List.of(lost));
    await(() -> replica.metrics.queuedProposals.get() == 0);
    CompletableFuture<List<ProposalResult>> waiting =
        replica.committer.propose(List.of(replica.claim()));
    long now = System.currentTimeMillis();
    appendNow(new Batch("entry-9", 1, 1, 1, now, List.of(SEEN)));
    appendNow(
        new Batch("entry-9", 1, 2, 1, now + 30_000, List.of(new EntryHostLost("entry-1", old))));
    assertFailure(pending, ResultCode.STALE_INCARNATION);
    assertFailure(waiting, ResultCode.STALE_INCARNATION);
    paused.countDown();
    await(() -> replica.isRegistered() && replica.committer.incarnation() > old);
    assertThat(replica.holds(lost)).isFalse();
    assertThat(verdict(replica.committer.propose(List.of(replica.claim()))).isAccepted()).isTrue();
  }

  /** Guards against registrations that lapse, and against renewals that waste appends. */
  @Test
  void registrationIsRenewed() throws Exception {
    TestReplica replica = start("entry-1");
    for (int renewals = 1; renewals <= 3; renewals++) {
      replica.advance(EntryHostTable.RENEW_EVERY_MILLIS);
      long expected = 1 + renewals;
      await(() -> replica.state.nextOffset() >= expected);
    }
  }

  /** Guards against batches above the log's record limit. */
  @Test
  void batchesKeepTheLimitsOfTheLog() throws Exception {
    TestReplica replica = start("entry-1");
    CountDownLatch gate = log.holdAppends();
    List<CompletableFuture<List<ProposalResult>>> futures = new ArrayList<>();
    for (int number = 0; number < 300; number++) {
      futures.add(
          replica.committer.propose(
              List.of(new ReleaseProposed("operator", "#".repeat(1_000), 99))));
      futures.add(replica.committer.propose(List.of(replica.claim())));
    }
    gate.countDown();
    for (CompletableFuture<List<ProposalResult>> future : futures) {
      verdict(future);
    }
    assertThat(log.records()).allMatch(record -> record.length <= 64 * 1024);
    assertFailure(
        replica.committer.propose(List.of(new ReleaseProposed("operator", "#".repeat(70_000), 0))),
        ResultCode.PROPOSAL_TOO_LARGE);
  }

  /** Guards against a planned stop that leaves a registration, or loses what was proposed. */
  @Test
  void plannedStopEndsWithEntryHostLeft() throws Exception {
    TestReplica replica = start("entry-1");
    CompletableFuture<List<ProposalResult>> last =
        replica.committer.propose(List.of(replica.claim()));
    replica.stop();
    assertThat(verdict(last).isAccepted()).isTrue();
    List<byte[]> records = log.records();
    Batch batch = ProposalTypes.CODEC.decode(records.get(records.size() - 1), Batch.class).get();
    List<Proposal> proposals = batch.proposals();
    assertThat(proposals.get(proposals.size() - 1)).isEqualTo(new EntryHostLeft());
    assertFailure(replica.committer.propose(List.of(replica.claim())), ResultCode.STOPPING);
    replicas.clear();
  }

  /** Guards against a host that folds rules which it does not know. */
  @Test
  void laterFoldVersionStopsFolding() throws Exception {
    TestReplica replica = start("entry-1");
    long offset = log.records().size();
    append(new Batch("entry-9", 1, 1, 2, System.currentTimeMillis(), List.of(SEEN)));
    append("entry-8", 1, System.currentTimeMillis(), SEEN);
    await(() -> replica.status.obstacle().isPresent());
    assertThat(replica.status.obstacle().get().code())
        .isEqualTo(ResultCode.FOLD_VERSION_UNSUPPORTED);
    assertThat(replica.state.nextOffset()).isEqualTo(offset);
  }

  /** Guards against a host without the log that does not use the records of its peers. */
  @Test
  void recordsComeFromPeersWhileTheLogIsDown() throws Exception {
    TestReplica reading = start("entry-1");
    FakeLog unreadable = new FakeLog();
    unreadable.setReadable(false);
    TestReplica cut =
        new TestReplica(
            "entry-2",
            unreadable,
            Long.MAX_VALUE / 2,
            offset ->
                Optional.of(reading.window.page(offset, 1_000))
                    .filter(page -> !page.records().isEmpty()));
    cut.start();
    for (int number = 0; number < 20; number++) {
      verdict(reading.committer.propose(List.of(reading.claim())));
    }
    await(() -> cut.state.nextOffset() == reading.state.nextOffset());
    assertThat(cut.encoded()).isEqualTo(reading.encoded());
    assertThat(cut.status.readMillis()).isEmpty();
    cut.stop();
  }

  /** Guards against a starting host that folds a log without its beginning, or never starts. */
  @Test
  void startWaitsForACompleteSnapshotOfAnExpiredLog() throws Exception {
    TestReplica first = start("entry-1");
    verdict(first.committer.propose(List.of(first.claim())));
    long snapshotOffset = first.state.nextOffset();
    var chunks = SnapshotAssembler.split(snapshotOffset, first.encoded());
    verdict(first.committer.propose(List.of(first.claim())));
    log.expire(1);
    TestReplica second = TestReplica.started("entry-2", log);
    replicas.add(second);
    await(() -> second.status.obstacle().isPresent());
    assertThat(second.status.obstacle().get().code()).isEqualTo(ResultCode.LOG_GAP);
    assertThat(second.state.nextOffset()).isZero();
    for (Proposal chunk : chunks) {
      verdict(first.committer.propose(List.of(chunk)));
    }
    await(second::isRegistered);
    await(() -> first.state.nextOffset() == second.state.nextOffset());
    assertThat(second.status.obstacle()).isEmpty();
    assertThat(second.encoded()).isEqualTo(first.encoded());
  }

  /** Guards against verdicts that are invented for records which the host never saw. */
  @Test
  void gapIsRecoveredFromASnapshot() throws Exception {
    TestReplica writer = start("entry-1");
    FakeLog slowView = new FakeLog();
    TestReplica reader =
        new TestReplica("entry-2", view(slowView), Long.MAX_VALUE / 2, offset -> Optional.empty());
    replicas.add(reader);
    reader.start();
    await(reader::isRegistered);
    final long old = reader.committer.incarnation();
    slowView.setReadable(false);
    long offset = writer.state.nextOffset();
    ClaimRequested claim = reader.claim();
    CompletableFuture<List<ProposalResult>> unseen = reader.committer.propose(List.of(claim));
    await(() -> writer.holds(claim));
    long snapshotOffset = writer.state.nextOffset();
    for (Proposal chunk : SnapshotAssembler.split(snapshotOffset, writer.encoded())) {
      verdict(writer.committer.propose(List.of(chunk)));
    }
    assertThat(snapshotOffset).isGreaterThan(offset);
    log.expire(snapshotOffset);
    slowView.setReadable(true);
    assertThatThrownBy(() -> unseen.get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS))
        .hasCauseInstanceOf(UndecidedProposalException.class);
    await(() -> reader.isRegistered() && reader.committer.incarnation() > old);
    await(() -> reader.state.nextOffset() == writer.state.nextOffset());
    assertThat(reader.encoded()).isEqualTo(writer.encoded());
  }

  /** Returns the shared log with the readability of another one. */
  private PlatformLog view(FakeLog readability) {
    return new PlatformLog() {
      @Override
      public long append(byte[] record) throws IOException {
        return log.append(record);
      }

      @Override
      public LogPage read(long fromOffset, int maxRecords, long waitMillis) throws IOException {
        LogPage page = log.read(fromOffset, maxRecords, waitMillis);
        readability.read(0, 1, 1);
        return page;
      }
    };
  }

  /** Guards against a fleet whose snapshots are never written. */
  @Test
  void dueSnapshotIsWritten() throws Exception {
    TestReplica writer = new TestReplica("entry-1", log, 8, offset -> Optional.empty());
    replicas.add(writer);
    writer.start();
    await(writer::isRegistered);
    await(
        () -> {
          writer.committer.propose(List.of(writer.claim()));
          return writer.metrics.snapshotsWritten.get() >= 1;
        });
    TestReplica late = start("entry-2");
    await(() -> late.state.nextOffset() == writer.state.nextOffset());
    assertThat(late.encoded()).isEqualTo(writer.encoded());
  }
}
