package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * One host's way to the platform's log, on which only reads of one table are late or fail. Reads
 * wait for records. Safe for any thread.
 */
final class LateReadsLog implements KeyedLog {
  /** What happens to reads of the table. */
  enum Reads {
    USUAL,
    FAILING,
    /** No answer until the reads change; then the answer of the time of the call. */
    HANGING,
    /** As hanging, but only one read at a time; others are answered. */
    ONE_HANGING
  }

  private static final long POLL_MILLIS = 5;

  private final KeyedLog log;
  private final Table lateTable;
  private final AtomicLong hanging = new AtomicLong();

  volatile Reads reads = Reads.USUAL;

  /** Time that each read of the table takes beyond its wait, in ms. */
  volatile long delayMillis;

  /** Creates a log on which reads of WORKFLOWS are late. */
  LateReadsLog(KeyedLog log) {
    this(log, Table.WORKFLOWS);
  }

  LateReadsLog(KeyedLog log, Table lateTable) {
    this.log = log;
    this.lateTable = lateTable;
  }

  @Override
  public LogReadResult read(Table table, long from, int waitMillis) {
    if (table != lateTable) {
      return readWaiting(table, from, waitMillis);
    }
    if (reads == Reads.FAILING) {
      return new LogReadResult.Unavailable("failing");
    }
    LogReadResult result = readWaiting(table, from, waitMillis);
    sleep(delayMillis);
    hang();
    return reads == Reads.FAILING ? new LogReadResult.Unavailable("failing") : result;
  }

  private LogReadResult readWaiting(Table table, long from, int waitMillis) {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    LogReadResult result = log.read(table, from, waitMillis);
    while (result instanceof LogReadResult.Records records
        && records.records().isEmpty()
        && System.nanoTime() < endNanos
        && (table != lateTable || reads == Reads.USUAL)) {
      sleep(POLL_MILLIS);
      result = log.read(table, from, waitMillis);
    }
    return result;
  }

  private void hang() {
    boolean isOther = hanging.getAndIncrement() > 0;
    while (reads == Reads.HANGING || (reads == Reads.ONE_HANGING && !isOther)) {
      if (!sleep(POLL_MILLIS)) {
        break;
      }
    }
    hanging.decrementAndGet();
  }

  private static boolean sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public LogReadResult readNewest(Table table) {
    boolean fails = table == lateTable && reads == Reads.FAILING;
    return fails ? new LogReadResult.Unavailable("failing") : log.readNewest(table);
  }

  @Override
  public AppendResult append(Table table, Sequence sequence, List<TableRecord> records) {
    return log.append(table, sequence, records);
  }

  @Override
  public AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
    return log.appendAt(table, expectedEnd, record);
  }
}
