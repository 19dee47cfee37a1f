package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Appends the records of one writer in groups, with one append in flight at a time.
 *
 * <p>An append without a result is repeated with the same sequence number until its result is
 * known, which appends its records exactly once. Records are reported as not written only if they
 * were never sent or every attempt was definitely refused.
 *
 * <p>A group is bounded in size. One that the store rejects for good is divided until the records
 * that cannot be stored are alone; only these are given up, and the others are written. Safe for
 * any thread.
 */
public final class TableWriter {
  /** Result of an append. */
  public enum Outcome {
    WRITTEN,
    /** Nothing was written, and nothing will be written later. */
    NOT_WRITTEN,
    /** Nothing was written, and the store would reject the same records again. */
    REJECTED,
    /** A newer epoch of this writer exists. */
    FENCED
  }

  private static final Logger LOG = LogManager.getLogger(TableWriter.class);
  private static final int MAX_GROUP_APPENDS = 200;

  /**
   * Size up to which records are sent together. It bounds the time for which an append occupies the
   * table, and is within what stores accept in a call.
   */
  static final int MAX_GROUP_BYTES = 512 * 1_024;

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

  /** Sequence number of the last written append. A group that is given up does not use a number. */
  private long lastSequence;

  /**
   * An append that waits for its outcome.
   *
   * @param isDivisible whether its records may be appended in parts
   * @param rejections receives each record that is given up alone
   */
  private record PendingAppend(
      List<TableRecord> records,
      boolean isDivisible,
      Consumer<TableRecord> rejections,
      long deadlineMillis,
      CompletableFuture<Outcome> outcome) {
    PendingAppend(
        List<TableRecord> records,
        boolean isDivisible,
        Consumer<TableRecord> rejections,
        long deadlineMillis) {
      this(records, isDivisible, rejections, deadlineMillis, new CompletableFuture<>());
    }

    /** Returns one half of the records as an append of its own. */
    PendingAppend half(int from, int to) {
      return new PendingAppend(records.subList(from, to), true, rejections, deadlineMillis);
    }

    long sizeBytes() {
      return RecordParts.sizeBytes(records);
    }
  }

  /**
   * Creates a writer.
   *
   * @param producer name of the writer
   * @param epoch epoch of the writer; a higher epoch fences this writer
   * @param clock monotonic clock in milliseconds
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

  /** Stops the writer; the results of unwritten records stay incomplete. */
  public void stop() {
    isStopped = true;
    thread.interrupt();
  }

  /** Returns whether the last append did not succeed. */
  boolean isFailing() {
    return isFailing;
  }

  /**
   * Appends records that need not be appended together, in their order and in parts of bounded
   * size.
   *
   * @return a future that completes once the outcomes of all parts are known, with the worst of
   *     them
   */
  CompletableFuture<Outcome> appendInParts(List<TableRecord> records) {
    return appendInParts(records, record -> {});
  }

  /**
   * Appends records as above.
   *
   * @param rejections receives each record that the store rejects for good, on the writer's thread
   *     and before the future completes
   */
  CompletableFuture<Outcome> appendInParts(
      List<TableRecord> records, Consumer<TableRecord> rejections) {
    CompletableFuture<Outcome> worst = CompletableFuture.completedFuture(Outcome.WRITTEN);
    for (List<TableRecord> part : RecordParts.of(records, MAX_GROUP_BYTES)) {
      CompletableFuture<Outcome> outcome =
          enqueue(new PendingAppend(part, true, rejections, Long.MAX_VALUE));
      worst = worst.thenCombine(outcome, TableWriter::worse);
    }
    return worst;
  }

  private static Outcome worse(Outcome first, Outcome second) {
    return first.compareTo(second) > 0 ? first : second;
  }

  /**
   * Appends records atomically.
   *
   * @param deadlineMillis monotonic time in ms after which a refused append is not retried
   */
  public CompletableFuture<Outcome> append(List<TableRecord> records, long deadlineMillis) {
    return enqueue(new PendingAppend(records, false, record -> {}, deadlineMillis));
  }

  private CompletableFuture<Outcome> enqueue(PendingAppend pending) {
    queue.add(pending);
    return pending.outcome();
  }

  private void run() {
    try {
      while (!isStopped) {
        writeGroup(takeGroup());
      }
    } catch (InterruptedException e) {
      LOG.debug("event=writer_stopped producer={}", producer);
    }
  }

  /** Waits for an append and returns it with those that follow it, up to the size of a group. */
  private List<PendingAppend> takeGroup() throws InterruptedException {
    PendingAppend first = queue.take();
    List<PendingAppend> group = new ArrayList<>();
    group.add(first);
    long bytes = first.sizeBytes();
    while (group.size() < MAX_GROUP_APPENDS && !queue.isEmpty()) {
      bytes += queue.element().sizeBytes();
      if (bytes > MAX_GROUP_BYTES) {
        break;
      }
      group.add(queue.remove());
    }
    return group;
  }

  private void writeGroup(List<PendingAppend> group) throws InterruptedException {
    boolean isUncertain = false;
    long delay = INITIAL_RETRY_DELAY_MILLIS;
    while (!group.isEmpty()) {
      List<TableRecord> records = new ArrayList<>();
      group.forEach(pending -> records.addAll(pending.records()));
      long sent = clock.getAsLong();
      AppendResult result = append(records);
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
      if (result instanceof AppendResult.Refused refused && refused.isPermanent()) {
        divide(group, result);
        return;
      }
      isUncertain |= !(result instanceof AppendResult.Refused);
      if (!isUncertain) {
        dropExpired(group, result);
      }
      // Queued records were never sent, so they can be dropped even if the result of the current
      // append is unknown.
      dropExpired(queue, result);
      if (group.isEmpty()) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(retryDelay(group, delay));
      delay = Math.min(MAX_RETRY_DELAY_MILLIS, delay * 2);
    }
  }

  /**
   * Writes the halves of a rejected group, or of a divisible append, one after the other; gives up
   * what cannot be divided.
   */
  private void divide(List<PendingAppend> group, AppendResult result) throws InterruptedException {
    if (group.size() > 1) {
      int middle = group.size() / 2;
      writeGroup(new ArrayList<>(group.subList(0, middle)));
      writeGroup(new ArrayList<>(group.subList(middle, group.size())));
      return;
    }
    PendingAppend rejected = group.get(0);
    int count = rejected.records().size();
    if (rejected.isDivisible() && count > 1) {
      PendingAppend first = rejected.half(0, count / 2);
      PendingAppend second = rejected.half(count / 2, count);
      first
          .outcome()
          .thenCombine(second.outcome(), TableWriter::worse)
          .thenAccept(rejected.outcome()::complete);
      divide(new ArrayList<>(List.of(first, second)), result);
    } else {
      LOG.error(
          "event=append_rejected producer={} first_key={} records={} bytes={} cause={}",
          producer,
          rejected.records().get(0).key(),
          count,
          rejected.sizeBytes(),
          result);
      rejected.records().forEach(rejected.rejections());
      completeGroup(group, Outcome.REJECTED);
    }
  }

  /**
   * Appends records; after an exception or error they may be appended, so the append is repeated.
   */
  private AppendResult append(List<TableRecord> records) {
    try {
      return log.append(table, new KeyedLog.Sequence(producer, epoch, lastSequence + 1), records);
    } catch (RuntimeException | Error e) {
      LOG.error("event=append_failed table={} producer={}", table, producer, e);
      return new AppendResult.Unknown(e.toString());
    }
  }

  /** Returns a jittered delay that ends by the next deadline of the group. */
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
