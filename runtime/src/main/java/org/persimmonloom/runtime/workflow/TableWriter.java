package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Appends records of one writer in groups, one append in flight at a time.
 *
 * <p>An unanswered append is repeated with its sequence number until it is answered, so that its
 * records are appended exactly once. Only records whose append was refused for certain each time
 * are reported as not written. Safe for any thread.
 */
public final class TableWriter {
  /** How an append ended. */
  public enum Outcome {
    WRITTEN,
    /** Nothing was written, and nothing will be. */
    NOT_WRITTEN,
    /** A newer epoch of this writer exists. */
    FENCED
  }

  private static final Logger LOG = LogManager.getLogger(TableWriter.class);
  private static final int MAX_GROUP_APPENDS = 200;
  private static final long INITIAL_RETRY_DELAY_MILLIS = 40;
  private static final long MAX_RETRY_DELAY_MILLIS = 400;

  private final KeyedLog log;
  private final Table table;
  private final String producer;
  private final long epoch;
  private final WorkflowMetrics metrics;
  private final LongSupplier clock;
  private final BlockingQueue<PendingAppend> queue = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean isStopped;
  private volatile boolean isFailing;

  /** Number of the last append that was written; a group that is given up leaves no gap. */
  private long lastSequence;

  private record PendingAppend(
      List<TableRecord> records, long deadlineMillis, CompletableFuture<Outcome> outcome) {}

  /**
   * Creates a writer.
   *
   * @param producer name of the writer
   * @param epoch epoch of the writer; a higher one shuts out this one
   * @param clock steady clock in milliseconds
   */
  public TableWriter(
      KeyedLog log,
      Table table,
      String producer,
      long epoch,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    this.metrics = metrics;
    this.log = log;
    this.table = table;
    this.producer = producer;
    this.epoch = epoch;
    this.clock = clock;
    thread = new Thread(this::run, "append-" + producer);
    thread.setDaemon(true);
  }

  /** Starts appending. */
  public void start() {
    thread.start();
  }

  /** Stops; records that are not written yet stay undecided. */
  public void stop() {
    isStopped = true;
    thread.interrupt();
  }

  /** Returns whether the last append did not succeed. */
  boolean isFailing() {
    return isFailing;
  }

  /**
   * Appends records together.
   *
   * @param deadlineMillis steady time after which a refusal is final
   */
  public CompletableFuture<Outcome> append(List<TableRecord> records, long deadlineMillis) {
    PendingAppend pending = new PendingAppend(records, deadlineMillis, new CompletableFuture<>());
    queue.add(pending);
    return pending.outcome();
  }

  private void run() {
    try {
      while (!isStopped) {
        List<PendingAppend> group = new ArrayList<>();
        group.add(queue.take());
        queue.drainTo(group, MAX_GROUP_APPENDS - 1);
        writeGroup(group);
      }
    } catch (InterruptedException e) {
      LOG.debug("event=writer_stopped producer={}", producer);
    }
  }

  private void writeGroup(List<PendingAppend> group) throws InterruptedException {
    boolean isUncertain = false;
    long delay = INITIAL_RETRY_DELAY_MILLIS;
    while (!group.isEmpty()) {
      List<TableRecord> records = new ArrayList<>();
      group.forEach(pending -> records.addAll(pending.records()));
      long sent = clock.getAsLong();
      AppendResult result =
          log.append(table, new KeyedLog.Sequence(producer, epoch, lastSequence + 1), records);
      metrics
          .appendSeconds
          .labelValues(table.name(), result.getClass().getSimpleName())
          .observe(WorkflowMetrics.seconds(clock.getAsLong() - sent));
      isFailing = !(result instanceof AppendResult.Appended);
      if (!isFailing) {
        lastSequence++;
        completeGroup(group, Outcome.WRITTEN);
        return;
      }
      if (result instanceof AppendResult.Fenced) {
        LOG.warn("event=writer_fenced producer={} epoch={}", producer, epoch);
        completeGroup(group, Outcome.FENCED);
        return;
      }
      isUncertain |= !(result instanceof AppendResult.Refused);
      if (!isUncertain) {
        dropExpired(group, result);
      }
      // Records that wait behind an undecided append were never sent.
      dropExpired(queue, result);
      if (group.isEmpty()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(retryDelay(group, delay));
      delay = Math.min(MAX_RETRY_DELAY_MILLIS, delay * 2);
    }
  }

  /** Returns a jittered delay that ends no later than the first item is to be given up. */
  private long retryDelay(List<PendingAppend> group, long delay) {
    long jittered = delay + ThreadLocalRandom.current().nextLong(delay);
    long now = clock.getAsLong();
    long untilDeadline =
        group.stream()
            .mapToLong(pending -> pending.deadlineMillis() - now)
            .filter(left -> left > 0)
            .min()
            .orElse(jittered);
    return Math.min(jittered, untilDeadline);
  }

  private static void completeGroup(List<PendingAppend> group, Outcome outcome) {
    group.forEach(pending -> pending.outcome().complete(outcome));
    group.clear();
  }

  private void dropExpired(Collection<PendingAppend> group, AppendResult result) {
    long now = clock.getAsLong();
    group.removeIf(
        pending -> {
          if (now < pending.deadlineMillis()) {
            return false;
          }
          LOG.info("event=append_given_up producer={} cause={}", producer, result);
          return pending.outcome().complete(Outcome.NOT_WRITTEN);
        });
  }
}
