package org.persimmonloom.runtime.workflow;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Maintains a replica of one table: loads the newest record of each key, then reads later records.
 *
 * <p>A load is built aside and replaces the replica as a whole, at a position that is not before
 * that of the replaced one, so that no reader sees a part of it or an earlier state again. The
 * listener receives records in the order of their offsets, under the follower's lock. No record is
 * delivered twice, except in another load. Safe for any thread.
 */
public final class TableFollower {
  /** Receives the records of a table. */
  public interface Listener {
    /** Applies a record that follows all earlier ones in the log. */
    void apply(StoredRecord stored);

    /** Begins a load of the whole table. */
    Load beginLoad();

    /**
     * Returns whether each record matters, or only the newest one of each key, whatever the records
     * of other keys. Reading only the newest keeps up on a slow link if many large records follow
     * each other, also after an outage.
     */
    default boolean needsEveryRecord() {
      return true;
    }
  }

  /** A load of the whole table, which has no effect until it is published. */
  public interface Load {
    /** Adds the newest record of a key. */
    void add(StoredRecord stored);

    /** Replaces all records that were loaded or applied before, for all readers at once. */
    void publish();

    /** Returns a load that consists of the two actions. */
    static Load of(Consumer<StoredRecord> add, Runnable publish) {
      return new Load() {
        @Override
        public void add(StoredRecord stored) {
          add.accept(stored);
        }

        @Override
        public void publish() {
          publish.run();
        }
      };
    }
  }

  private static final Logger LOG = LogManager.getLogger(TableFollower.class);
  private static final long RETRY_DELAY_MILLIS = 100;

  private final KeyedLog log;
  private final Table table;
  private final Listener listener;
  private final LongSupplier clock;
  private final int waitMillis;
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition pauseChanged = lock.newCondition();
  private final ReadTurn readTurn = new ReadTurn();
  private final ReadTimer readTimer;
  private final Thread thread;
  private volatile boolean isStopped;
  private volatile long pauseMillis;
  private volatile int waitLimitMillis = Integer.MAX_VALUE;
  private volatile boolean isLoaded;
  private volatile long caughtUpMillis = Long.MIN_VALUE / 2;
  private volatile long loads;
  private long nextOffset;

  /** Whether the last read or load of the follower's thread reached the table's end. */
  private boolean wasAtEnd;

  private volatile boolean wasAvailable = true;

  /**
   * Creates a follower.
   *
   * @param clock monotonic clock in milliseconds
   * @param waitMillis wait time of one read for records, in ms
   * @param pauseMillis pause after a read that returned records, which batches later ones, in ms
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
    readTimer = new ReadTimer(clock);
    String name = "follow-" + table.name().toLowerCase(java.util.Locale.ROOT);
    thread = DaemonThreads.named(name).newThread(this::run);
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

  /** Changes the pause after reads that return records, and ends a pause in progress. */
  public void setPauseMillis(long millis) {
    pauseMillis = millis;
    lock.lock();
    try {
      pauseChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Limits the wait time of the reads that follow, in ms. */
  void setWaitLimitMillis(int millis) {
    waitLimitMillis = millis;
  }

  /** Returns whether the table is loaded. */
  public boolean isLoaded() {
    return isLoaded;
  }

  /**
   * Returns the monotonic time at which the last read that reached the table's end was sent, in ms.
   */
  public long caughtUpMillis() {
    return caughtUpMillis;
  }

  /** Returns the time since the last read that reached the table's end was sent, in ms. */
  long ageMillis() {
    return nowMillis() - caughtUpMillis;
  }

  /** Returns the present time on the clock of {@link #caughtUpMillis}, in ms. */
  long nowMillis() {
    return clock.getAsLong();
  }

  /** Returns whether the last read reached the log. */
  boolean isAvailable() {
    return wasAvailable;
  }

  /** Returns the offset after the last applied record. */
  public long end() {
    lock.lock();
    try {
      return nextOffset;
    } finally {
      lock.unlock();
    }
  }

  /** Returns the state of the follower's own reads at the monotonic time, in ms. */
  ReadTimer.Status readStatus(long nowMillis) {
    return readTimer.status(nowMillis, loads);
  }

  /** Position of the replica after a read. */
  private enum Progress {
    AT_END,
    /** More records follow those that the read returned. */
    BEHIND,
    /** The position has expired; the table must be reloaded. */
    EXPIRED,
    FAILED
  }

  /**
   * Reads up to the current end of the table; returns whether that succeeded. Calls at the same
   * time share their reads, and fail together with one that they wait for.
   */
  public boolean refresh() {
    long calledMillis = clock.getAsLong();
    while (isLoaded) {
      if (!readTurn.tryBegin()) {
        return false;
      }
      try {
        if (caughtUpMillis > calledMillis) {
          return true;
        }
        if (readTurn.hasFailedSince(calledMillis)) {
          return false;
        }
        Progress progress = readMissing();
        if (progress != Progress.BEHIND) {
          return progress == Progress.AT_END;
        }
      } finally {
        readTurn.end();
      }
    }
    return false;
  }

  /** Reads up to the end beside the reads in progress, of which one may not end. */
  boolean refreshWithoutTurn() {
    Progress progress = Progress.BEHIND;
    while (isLoaded && progress == Progress.BEHIND) {
      progress = readMissing();
    }
    return progress == Progress.AT_END;
  }

  private Progress readMissing() {
    long previousEnd = end();
    Progress progress = readNow(() -> log.read(table, previousEnd, 0));
    return progress == Progress.BEHIND && end() == previousEnd ? Progress.FAILED : progress;
  }

  private Progress readNow(Supplier<LogReadResult> read) {
    long sentMillis = clock.getAsLong();
    Progress progress = applyRead(read.get(), sentMillis);
    if (progress == Progress.FAILED) {
      readTurn.failed(clock.getAsLong());
    }
    return progress;
  }

  private void run() {
    while (!isStopped) {
      try {
        readOnce();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException | Error e) {
        LOG.error("event=follow_failed table={}", table, e);
        sleepUnlessStopped();
      }
    }
  }

  private void sleepUnlessStopped() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void readOnce() throws InterruptedException {
    long sentMillis = clock.getAsLong();
    if (!isLoaded || (!wasAvailable && !listener.needsEveryRecord())) {
      load(sentMillis);
      return;
    }
    long previousEnd = end();
    int wait = Math.min(waitMillis, waitLimitMillis);
    Progress progress =
        wasAtEnd
            ? applyRead(readTimer.timed(() -> log.read(table, previousEnd, wait)), sentMillis)
            : catchUp();
    wasAtEnd = progress == Progress.AT_END;
    boolean hasNew = end() > previousEnd;
    if (progress == Progress.BEHIND && !listener.needsEveryRecord()) {
      load(sentMillis);
      return;
    }
    if (progress == Progress.AT_END && hasNew) {
      pause();
    } else if (progress == Progress.FAILED || (progress == Progress.BEHIND && !hasNew)) {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
    }
  }

  /** Reads records that are known to be missing, or are after a failure. */
  private Progress catchUp() {
    // Without its turn it reads all the same, so that no other read holds up the replica for long.
    boolean hasTurn = readTurn.tryBegin();
    try {
      return readNow(() -> readTimer.timed(() -> log.read(table, end(), 0)));
    } finally {
      if (hasTurn) {
        readTurn.end();
      }
    }
  }

  private void pause() throws InterruptedException {
    lock.lock();
    try {
      long nanos = TimeUnit.MILLISECONDS.toNanos(pauseMillis);
      if (nanos > 0) {
        pauseChanged.awaitNanos(nanos);
      }
    } finally {
      lock.unlock();
    }
  }

  private void load(long sentMillis) throws InterruptedException {
    LogReadResult result = readTimer.timed(() -> log.readNewest(table));
    logAvailabilityChange(result);
    if (!(result instanceof LogReadResult.Records records)) {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
      return;
    }
    NewestRecords newest = new NewestRecords(records);
    long requiredEnd = listener.needsEveryRecord() ? records.observedEnd() : records.end();
    if (!newest.readTo(Math.max(requiredEnd, end()), log, table)) {
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
      return;
    }
    Load load = listener.beginLoad();
    newest.inOrder().forEach(stored -> skipOnFailure(load::add, stored));
    if (publish(load, newest.end(), sentMillis)) {
      wasAtEnd = true;
      LOG.info("event=table_loaded table={} end={}", table, newest.end());
    }
  }

  /** Publishes a load unless a read has gone beyond its position meanwhile. */
  private boolean publish(Load load, long loadedEnd, long sentMillis) {
    lock.lock();
    try {
      if (loadedEnd < nextOffset) {
        return false;
      }
      load.publish();
      nextOffset = loadedEnd;
      isLoaded = true;
      loads++;
      caughtUpMillis = sentMillis;
      return true;
    } finally {
      lock.unlock();
    }
  }

  /** Passes on a record; one on which the listener fails is skipped, as it would fail again. */
  private void skipOnFailure(Consumer<StoredRecord> target, StoredRecord stored) {
    try {
      target.accept(stored);
    } catch (RuntimeException | StackOverflowError e) {
      String key = stored.record().key();
      LOG.error("event=record_skipped table={} offset={} key={}", table, stored.offset(), key, e);
    }
  }

  private Progress applyRead(LogReadResult result, long sentMillis) {
    logAvailabilityChange(result);
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
        if (stored.offset() >= nextOffset) {
          skipOnFailure(listener::apply, stored);
          nextOffset = stored.offset() + 1;
        }
      }
      if (nextOffset < records.end()) {
        return Progress.BEHIND;
      }
      caughtUpMillis = Math.max(caughtUpMillis, sentMillis);
      return Progress.AT_END;
    } finally {
      lock.unlock();
    }
  }

  private void logAvailabilityChange(LogReadResult result) {
    boolean isAvailable = !(result instanceof LogReadResult.Unavailable);
    if (isAvailable != wasAvailable) {
      wasAvailable = isAvailable;
      String change = isAvailable ? "regained" : "lost";
      LOG.info("event=table_{} table={} result={}", change, table, isAvailable ? "ok" : result);
    }
  }
}
