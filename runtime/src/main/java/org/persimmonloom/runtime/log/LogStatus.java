package org.persimmonloom.runtime.log;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.result.Failure;

/** How the follower stands with the platform log. Safe for any thread. */
@Singleton
public final class LogStatus {
  private static final long UNKNOWN = -1;

  private volatile long readMillis = UNKNOWN;
  private volatile long endOffset = UNKNOWN;
  private volatile Failure stopped;
  private volatile Failure waiting;

  @Inject
  public LogStatus() {}

  /**
   * Notes a read that reached the end of the log.
   *
   * @param startMillis when the read began. Its end would claim too much after a pause between the
   *     log's answer and its processing.
   */
  void readToEnd(long startMillis) {
    readMillis = startMillis;
  }

  void endSeen(long nextOffset) {
    endOffset = nextOffset;
  }

  void stopped(Failure reason) {
    stopped = reason;
  }

  void waiting(Failure reason) {
    waiting = reason;
  }

  /** Returns the start of the last read that reached the end of the log, or empty. */
  public Optional<Long> readMillis() {
    return readMillis == UNKNOWN ? Optional.empty() : Optional.of(readMillis);
  }

  /** Returns the offset that the next append gets, as of the last read, or empty. */
  public Optional<Long> endOffset() {
    return endOffset == UNKNOWN ? Optional.empty() : Optional.of(endOffset);
  }

  /** Returns why folding stopped for good, or why it waits, or empty. */
  public Optional<Failure> obstacle() {
    Failure reason = stopped;
    return Optional.ofNullable(reason == null ? waiting : reason);
  }
}
