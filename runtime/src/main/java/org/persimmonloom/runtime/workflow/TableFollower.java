package org.persimmonloom.runtime.workflow;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Keeps a replica of one table: loads the newest record of each key, then reads on.
 *
 * <p>Records reach the listener in the order of their offsets, under the follower's lock, and none
 * twice. Safe for any thread.
 */
public final class TableFollower {
  /** Receives the records of a table. */
  public interface Listener {
    /** Takes over a record; {@code isBacklog} is true while the table is loaded. */
    void apply(StoredRecord stored, boolean isBacklog);

    /** Called before all records are given anew, since the old position has expired. */
    default void reset() {}
  }

  private static final Logger LOG = LogManager.getLogger(TableFollower.class);
  private static final long RETRY_MILLIS = 100;

  private final KeyedLog log;
  private final Table table;
  private final Listener listener;
  private final LongSupplier clock;
  private final int waitMillis;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition paceChanged = lock.newCondition();
  private final Thread thread;
  private volatile boolean isStopped;
  private volatile long pauseMillis;
  private volatile boolean isLoaded;
  private volatile long caughtUpMillis = Long.MIN_VALUE / 2;
  private long next;
  private boolean wasAvailable = true;

  /**
   * Creates a follower.
   *
   * @param clock steady clock in milliseconds
   * @param waitMillis how long one read waits for records
   * @param pauseMillis pause after a read that found records, which lets them gather
   */
  public TableFollower(
      KeyedLog log,
      Table table,
      Listener listener,
      LongSupplier clock,
      int waitMillis,
      long pauseMillis) {
    this.log = log;
    this.table = table;
    this.listener = listener;
    this.clock = clock;
    this.waitMillis = waitMillis;
    this.pauseMillis = pauseMillis;
    thread = new Thread(this::run, "follow-" + table.name().toLowerCase(java.util.Locale.ROOT));
    thread.setDaemon(true);
  }

  /** Starts reading. */
  public void start() {
    thread.start();
  }

  /** Stops reading; does not wait for a read in progress. */
  public void stop() {
    isStopped = true;
    thread.interrupt();
  }

  /** Changes the pause between reads that find records. */
  public void setPauseMillis(long millis) {
    pauseMillis = millis;
    lock.lock();
    try {
      paceChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Returns whether the table was loaded. */
  public boolean isLoaded() {
    return isLoaded;
  }

  /** Returns the steady time at which the last read that reached the table's end was sent. */
  public long caughtUpMillis() {
    return caughtUpMillis;
  }

  /** Returns the offset after the last record applied. */
  public long end() {
    lock.lock();
    try {
      return next;
    } finally {
      lock.unlock();
    }
  }

  /** How far a read has brought the replica. */
  private enum Progress {
    AT_END,
    /** More records follow than the read has returned. */
    BEHIND,
    /** The replica has to be loaded anew. */
    EXPIRED,
    FAILED
  }

  /** Reads up to the present end of the table; returns whether that succeeded. */
  public boolean refresh() {
    while (isLoaded) {
      long sent = clock.getAsLong();
      long before = end();
      Progress progress = take(log.read(table, before, 0), sent);
      if (progress == Progress.AT_END) {
        return true;
      }
      if (progress != Progress.BEHIND || end() == before) {
        return false;
      }
    }
    return false;
  }

  private void run() {
    while (!isStopped) {
      try {
        step();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("event=follow_failed table={}", table, e);
        sleepUnlessStopped();
      }
    }
  }

  private void sleepUnlessStopped() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void step() throws InterruptedException {
    long sent = clock.getAsLong();
    if (!isLoaded) {
      load(log.readNewest(table), sent);
      return;
    }
    long before = end();
    Progress progress = take(log.read(table, before, waitMillis), sent);
    boolean hasNew = end() > before;
    if (progress == Progress.AT_END && hasNew) {
      pause();
    } else if (progress == Progress.FAILED || (progress == Progress.BEHIND && !hasNew)) {
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
    }
  }

  private void pause() throws InterruptedException {
    lock.lock();
    try {
      long nanos = TimeUnit.MILLISECONDS.toNanos(pauseMillis);
      if (nanos > 0) {
        paceChanged.awaitNanos(nanos);
      }
    } finally {
      lock.unlock();
    }
  }

  private void load(LogReadResult result, long sent) throws InterruptedException {
    if (!(result instanceof LogReadResult.Records records)) {
      noteAvailability(result);
      TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
      return;
    }
    lock.lock();
    try {
      listener.reset();
      for (StoredRecord stored : records.records()) {
        listener.apply(stored, true);
      }
      next = records.end();
      isLoaded = true;
      caughtUpMillis = sent;
    } finally {
      lock.unlock();
    }
    LOG.info("event=table_loaded table={} end={}", table, records.end());
  }

  private Progress take(LogReadResult result, long sent) {
    noteAvailability(result);
    if (result instanceof LogReadResult.Expired) {
      isLoaded = false;
      return Progress.EXPIRED;
    }
    if (!(result instanceof LogReadResult.Records records)) {
      return Progress.FAILED;
    }
    lock.lock();
    try {
      for (StoredRecord stored : records.records()) {
        if (stored.offset() >= next) {
          listener.apply(stored, false);
          next = stored.offset() + 1;
        }
      }
      if (next < records.end()) {
        return Progress.BEHIND;
      }
      caughtUpMillis = Math.max(caughtUpMillis, sent);
      return Progress.AT_END;
    } finally {
      lock.unlock();
    }
  }

  private void noteAvailability(LogReadResult result) {
    boolean isAvailable = !(result instanceof LogReadResult.Unavailable);
    if (isAvailable != wasAvailable) {
      wasAvailable = isAvailable;
      LOG.info(
          "event=table_{} table={} result={}",
          isAvailable ? "regained" : "lost",
          table,
          isAvailable ? "ok" : result);
    }
  }
}
