package org.persimmonloom.runtime.log;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.fold.SnapshotAssembler;
import org.persimmonloom.core.fold.SnapshotChunk;
import org.persimmonloom.core.fold.SnapshotSchedule;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Writes snapshots into the log when it is this host's turn. The state is copied on the thread that
 * folds; encoding and proposing run on a thread of their own, one chunk at a time, so that chunks
 * leave room for other proposals. Safe for any thread.
 */
@Singleton
public final class SnapshotWriter implements FoldListener {
  private static final Logger LOGGER = LogManager.getLogger(SnapshotWriter.class);

  /** A host whose last read is older may be replaying records, whose snapshots were written. */
  private static final long RECENT_READ_MILLIS = 5_000;

  private static final long CHUNK_WAIT_MILLIS = 30_000;

  private final ReplicatedState state;
  private final Proposer proposer;
  private final LogStatus status;
  private final LogMetrics metrics;
  private final EntrySettings settings;
  private final InstantSource clock;
  private final SnapshotSchedule schedule;
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "snapshot-writer");
            thread.setDaemon(true);
            return thread;
          });

  @Inject
  public SnapshotWriter(
      ReplicatedState state,
      Proposer proposer,
      LogStatus status,
      LogMetrics metrics,
      EntrySettings settings,
      InstantSource clock) {
    this.state = state;
    this.proposer = proposer;
    this.status = status;
    this.metrics = metrics;
    this.settings = settings;
    this.clock = clock;
    this.schedule = new SnapshotSchedule(settings.retentionMillis());
    state.addListener(this);
  }

  /** Stops writing; the rest of a snapshot that is being written is left to another host. */
  public void stop() {
    executor.shutdownNow();
  }

  @Override
  public void folded(long offset, Batch batch, List<ProposalResult> verdicts) {
    if (verdicts.isEmpty()) {
      return;
    }
    long foldTimeMillis = state.read(FleetState::timeMillis);
    long nowMillis = clock.millis();
    synchronized (schedule) {
      schedule.recordBatch(offset, foldTimeMillis, batch.proposals(), nowMillis);
      if (!schedule.isDue() || !isFollowing(nowMillis)) {
        return;
      }
      List<String> live =
          state.read(fleet -> fleet.entryHosts().live().stream().map(EntryHost::name).toList());
      if (!schedule.isOwnTurn(settings.name(), live, nowMillis)) {
        return;
      }
      schedule.recordStart(nowMillis);
    }
    FleetSnapshot snapshot = state.read(FleetState::snapshot);
    executor.execute(() -> write(snapshot));
  }

  private boolean isFollowing(long nowMillis) {
    return status
        .readMillis()
        .filter(millis -> nowMillis - millis <= RECENT_READ_MILLIS)
        .isPresent();
  }

  @Override
  public void restored() {
    synchronized (schedule) {
      schedule.recordRestore(state.nextOffset(), state.read(FleetState::timeMillis));
    }
  }

  private void write(FleetSnapshot snapshot) {
    try {
      byte[] encoded = ProposalTypes.CODEC.encode(snapshot);
      List<SnapshotChunk> chunks = SnapshotAssembler.split(snapshot.nextOffset(), encoded);
      for (SnapshotChunk chunk : chunks) {
        if (isSuperseded(snapshot)) {
          return;
        }
        proposer.propose(List.of(chunk)).get(CHUNK_WAIT_MILLIS, TimeUnit.MILLISECONDS);
      }
      metrics.snapshotsWritten.inc();
      LOGGER.info(
          "snapshot at offset {} written: {} bytes in {} chunks",
          snapshot.nextOffset(),
          encoded.length,
          chunks.size());
    } catch (ExecutionException | TimeoutException | RuntimeException e) {
      metrics.errors.inc();
      LOGGER.warn("snapshot at offset {} not completed: {}", snapshot.nextOffset(), e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isSuperseded(FleetSnapshot snapshot) {
    synchronized (schedule) {
      return schedule.lastOffset() >= snapshot.nextOffset();
    }
  }
}
