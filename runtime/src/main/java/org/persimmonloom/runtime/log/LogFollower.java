package org.persimmonloom.runtime.log;

import java.io.IOException;
import java.time.InstantSource;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.result.Failure;

/**
 * Reads the platform log and folds it, on one thread of its own. Safe for use by several threads.
 */
@Singleton
public final class LogFollower {
  private static final Logger LOGGER = LogManager.getLogger(LogFollower.class);
  private static final int PAGE_RECORDS = 500;
  private static final long WAIT_MILLIS = 500;
  private static final long RETRY_MILLIS = 100;

  private final PlatformLog log;
  private final ReplicatedState state;
  private final LogStatus status;
  private final InstantSource clock;
  private final Thread thread = new Thread(this::run, "log-follower");
  private volatile boolean stopped;

  @Inject
  public LogFollower(
      PlatformLog log, ReplicatedState state, LogStatus status, InstantSource clock) {
    this.log = log;
    this.status = status;
    this.clock = clock;
    this.state = state;
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
    boolean reachable = true;
    while (!stopped) {
      try {
        followOnce();
        if (!reachable) {
          LOGGER.info("platform log reachable again");
        }
        reachable = true;
      } catch (IOException e) {
        if (reachable && !stopped) {
          LOGGER.warn("platform log unreachable: {}", e.getMessage());
        }
        reachable = false;
        pause();
      }
    }
  }

  private void followOnce() throws IOException {
    long from = state.nextOffset();
    long startMillis = clock.millis();
    long startNanos = System.nanoTime();
    LogPage page = log.read(from, PAGE_RECORDS, WAIT_MILLIS);
    status.endSeen(page.nextOffset());
    long offset = page.fromOffset();
    for (byte[] record : page.records()) {
      Optional<Failure> failure = state.fold(offset, record);
      if (failure.isPresent()) {
        LOGGER.error("folding stopped at offset {}: {}", offset, failure.get());
        status.stopped(failure.get());
        stopped = true;
        return;
      }
      offset++;
    }
    if (offset >= page.nextOffset()) {
      status.readToEnd(startMillis, startNanos);
    }
  }

  private void pause() {
    try {
      Thread.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      stopped = true;
    }
  }
}
