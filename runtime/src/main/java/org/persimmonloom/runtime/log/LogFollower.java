package org.persimmonloom.runtime.log;

import java.io.IOException;
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
  private final Thread thread = new Thread(this::run, "log-follower");
  private volatile boolean stopped;
  private volatile boolean caughtUp;

  @Inject
  public LogFollower(PlatformLog log, ReplicatedState state) {
    this.log = log;
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

  /** Returns whether the log was once folded to its end. */
  public boolean isCaughtUp() {
    return caughtUp;
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
    LogPage page = log.read(from, PAGE_RECORDS, WAIT_MILLIS);
    long offset = page.fromOffset();
    for (byte[] record : page.records()) {
      Optional<Failure> failure = state.fold(offset, record);
      if (failure.isPresent()) {
        LOGGER.error("folding stopped at offset {}: {}", offset, failure.get());
        stopped = true;
        return;
      }
      offset++;
    }
    if (offset >= page.nextOffset()) {
      caughtUp = true;
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
