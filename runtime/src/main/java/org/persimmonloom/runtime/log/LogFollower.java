package org.persimmonloom.runtime.log;

import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Reads the platform log and folds it, on one thread of its own.
 *
 * <p>It starts from the latest complete snapshot among the retained records, or from the first
 * record if the log still has it. If wanted records have expired, it takes a later snapshot; until
 * one is complete it waits, and {@link LogStatus} names the obstacle. While the log can't be read,
 * records come from a peer that has them. Safe for use by several threads.
 */
@Singleton
public final class LogFollower {
  private static final Logger LOGGER = LogManager.getLogger(LogFollower.class);

  /** At up to 64 KiB a record, a page stays below 13 MiB. */
  private static final int PAGE_RECORDS = 200;

  private static final long WAIT_MILLIS = 500;
  private static final long RETRY_MILLIS = 100;

  private final PlatformLog log;
  private final ReplicatedState state;
  private final LogStatus status;
  private final RecordWindow window;
  private final RecordSource peers;
  private final LogMetrics metrics;
  private final InstantSource clock;
  private final Thread thread = new Thread(this::run, "log-follower");
  private volatile boolean stopped;
  private boolean isReachable = true;
  private boolean isHealthy = true;
  private SnapshotLoader loader;

  @Inject
  public LogFollower(
      PlatformLog log,
      ReplicatedState state,
      LogStatus status,
      RecordWindow window,
      RecordSource peers,
      LogMetrics metrics,
      InstantSource clock) {
    this.log = log;
    this.state = state;
    this.status = status;
    this.window = window;
    this.peers = peers;
    this.metrics = metrics;
    this.clock = clock;
    this.loader = new SnapshotLoader(log);
    thread.setDaemon(true);
  }

  /** Starts following. */
  public void start() {
    thread.start();
  }

  /** Stops following and waits for the thread to end. */
  public void stop() throws InterruptedException {
    stopped = true;
    thread.interrupt();
    thread.join();
  }

  private void run() {
    while (!stopped) {
      try {
        if (loader != null) {
          load();
        } else {
          follow();
        }
        noteReachable();
        isHealthy = true;
      } catch (IOException e) {
        noteUnreachable(e);
        guarded(this::followPeers);
        pause();
      } catch (RuntimeException e) {
        noteError(e);
        pause();
      }
    }
  }

  private void guarded(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      noteError(e);
    }
  }

  private void noteReachable() {
    if (!isReachable) {
      LOGGER.info("platform log reachable again");
    }
    isReachable = true;
  }

  private void noteUnreachable(IOException e) {
    if (isReachable && !stopped) {
      LOGGER.warn("platform log unreachable: {}", e.getMessage());
    }
    isReachable = false;
  }

  private void noteError(RuntimeException e) {
    metrics.errors.inc();
    if (isHealthy) {
      LOGGER.error("error while following the platform log; it goes on", e);
    }
    isHealthy = false;
  }

  /** Looks for a snapshot, at the start and after a gap. */
  private void load() throws IOException {
    if (!loader.scan(PAGE_RECORDS, WAIT_MILLIS)) {
      return;
    }
    Optional<FleetSnapshot> snapshot =
        loader
            .latest()
            .filter(found -> found.nextOffset() > state.nextOffset())
            .filter(found -> found.nextOffset() >= loader.firstOffset());
    if (snapshot.isPresent()) {
      restore(snapshot.get());
    } else if (loader.firstOffset() <= state.nextOffset()) {
      loader = null;
      status.waiting(null);
    } else {
      waitFor(Failure.of(ResultCode.LOG_GAP, state.nextOffset(), loader.firstOffset()));
    }
  }

  private void restore(FleetSnapshot snapshot) {
    Optional<Failure> failure = state.restore(snapshot);
    if (failure.isPresent()) {
      stopFolding(failure.get(), snapshot.nextOffset());
      return;
    }
    LOGGER.info("restored from the snapshot at offset {}", snapshot.nextOffset());
    loader = null;
    status.waiting(null);
  }

  private void waitFor(Failure reason) {
    if (status.obstacle().isEmpty()) {
      LOGGER.warn("waiting: {}", reason);
    }
    status.waiting(reason);
  }

  private void stopFolding(Failure reason, long offset) {
    LOGGER.error("folding stopped at offset {}: {}", offset, reason);
    status.stopped(reason);
    stopped = true;
  }

  private void follow() throws IOException {
    long startMillis = clock.millis();
    long from = state.nextOffset();
    LogPage page = log.read(from, PAGE_RECORDS, WAIT_MILLIS);
    status.endSeen(page.nextOffset());
    if (page.firstOffset() > from) {
      waitFor(Failure.of(ResultCode.LOG_GAP, from, page.firstOffset()));
      loader = new SnapshotLoader(log);
      return;
    }
    if (page.nextOffset() < from) {
      waitFor(
          Failure.of(
              ResultCode.LOG_UNAVAILABLE,
              "it ends at offset " + page.nextOffset() + ", below the folded offset " + from));
      pause();
      return;
    }
    status.waiting(null);
    if (fold(page) && state.nextOffset() >= page.nextOffset()) {
      status.readToEnd(startMillis);
    }
  }

  /** Folds the page; returns false if folding stopped. */
  private boolean fold(LogPage page) {
    long offset = page.fromOffset();
    for (byte[] record : page.records()) {
      Optional<Failure> failure = state.fold(offset, record);
      if (failure.isPresent()) {
        stopFolding(failure.get(), offset);
        return false;
      }
      window.add(offset, record);
      metrics.foldedRecords.inc();
      offset++;
    }
    metrics.nextOffset.set(offset);
    return true;
  }

  private void followPeers() {
    if (stopped) {
      return;
    }
    long from = state.nextOffset();
    Optional<LogPage> page = peers.fetch(from);
    while (page.isPresent() && fold(page.get())) {
      metrics.peerRecords.inc(page.get().records().size());
      page = stopped ? Optional.empty() : peers.fetch(state.nextOffset());
    }
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      // Only stop() interrupts this thread, after it set the flag that ends the loop.
      stopped = true;
      Thread.currentThread().interrupt();
    }
  }
}
