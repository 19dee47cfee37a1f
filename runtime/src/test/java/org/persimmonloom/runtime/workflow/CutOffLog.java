package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.persimmonloom.core.workflow.TableRecord;

/** One host's way to the platform's log, which may be cut. Safe for any thread. */
class CutOffLog implements KeyedLog {
  /** What a call gets. */
  enum Cut {
    /** An answer that nothing was done. */
    REFUSED,
    /** No answer; the call does not reach the log. */
    SILENT
  }

  static final long SILENCE_MILLIS = 1_000;

  private final KeyedLog log;

  /** Number of reads of records, whether they reached the log or not. */
  final AtomicLong reads = new AtomicLong();

  /** The present cut; null while the way is open. */
  volatile Cut cut;

  CutOffLog(KeyedLog log) {
    this.log = log;
  }

  private <T> T call(Supplier<T> call, T refused, T unanswered) {
    Cut present = cut;
    if (present == null) {
      return call.get();
    }
    if (present == Cut.SILENT) {
      try {
        TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return unanswered;
    }
    return refused;
  }

  private <T> T call(Supplier<T> call, T failure) {
    return call(call, failure, failure);
  }

  @Override
  public LogReadResult read(Table table, long from, int waitMillis) {
    reads.incrementAndGet();
    return call(() -> log.read(table, from, waitMillis), new LogReadResult.Unavailable("cut off"));
  }

  @Override
  public LogReadResult readNewest(Table table) {
    return call(() -> log.readNewest(table), new LogReadResult.Unavailable("cut off"));
  }

  @Override
  public AppendResult append(Table table, Sequence sequence, List<TableRecord> records) {
    return call(
        () -> log.append(table, sequence, records),
        new AppendResult.Refused("cut off"),
        new AppendResult.Unknown("cut off"));
  }

  @Override
  public AppendResult appendAt(Table table, long expectedEnd, TableRecord record) {
    return call(
        () -> log.appendAt(table, expectedEnd, record),
        new AppendResult.Refused("cut off"),
        new AppendResult.Unknown("cut off"));
  }
}
