package org.persimmonloom.runtime.workflow;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * One host's view of the ownership table.
 *
 * <p>Every record is appended on the condition that nothing follows the last record that this host
 * has read, so the table is a linear sequence of owners, whichever host makes the call. An owner
 * whose own calls fail appends through another host. Confined to the ownership thread.
 */
final class OwnershipTable {
  private static final Logger LOG = LogManager.getLogger(OwnershipTable.class);
  private static final String KEY = "fleet";

  /**
   * Time for the store's answer before another way is tried, in ms. A store that is fifty times
   * slower than usual still answers within it.
   */
  private static final long OWN_CALL_WAIT_MILLIS = 300;

  private final KeyedLog log;
  private final OwnershipRelay relay;
  private final Codec codec = new Codec(Map.of());
  private final Executor callExecutor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "ownership-call");
            thread.setDaemon(true);
            return thread;
          });

  private long end;
  private boolean isLoaded;
  private boolean isRelayed;
  private OwnershipRecord newest;

  OwnershipTable(KeyedLog log, OwnershipRelay relay) {
    this.log = log;
    this.relay = relay;
  }

  /** Result of a read. */
  enum ReadResult {
    NEW_RECORDS,
    UNCHANGED,
    /** The position has expired; the table must be loaded again. */
    EXPIRED,
    UNAVAILABLE
  }

  boolean isLoaded() {
    return isLoaded;
  }

  /** Requires a new load before the next read or append. */
  void unload() {
    isLoaded = false;
  }

  /** Returns the newest record that was read; null if there is none. */
  OwnershipRecord newest() {
    return newest;
  }

  long end() {
    return end;
  }

  /** Loads the table; returns false if that fails. */
  boolean load() {
    LogReadResult result = log.readNewest(Table.OWNERSHIP);
    if (!(result instanceof LogReadResult.Records records)) {
      return false;
    }
    records.records().forEach(this::apply);
    end = records.end();
    isLoaded = true;
    return true;
  }

  /** Reads further records, and waits up to {@code waitMillis} for the first one. */
  ReadResult read(int waitMillis) {
    LogReadResult result = log.read(Table.OWNERSHIP, end, waitMillis);
    if (result instanceof LogReadResult.Expired) {
      isLoaded = false;
      return ReadResult.EXPIRED;
    }
    if (!(result instanceof LogReadResult.Records records)) {
      return ReadResult.UNAVAILABLE;
    }
    if (records.records().isEmpty()) {
      return ReadResult.UNCHANGED;
    }
    records.records().forEach(this::apply);
    end = records.end();
    return ReadResult.NEW_RECORDS;
  }

  private void apply(StoredRecord stored) {
    if (stored.record().value() == null) {
      return;
    }
    codec
        .decode(stored.record().value(), OwnershipRecord.class)
        .peek(
            record -> {
              long fence = record.fence() == 0 ? stored.offset() + 1 : record.fence();
              newest =
                  new OwnershipRecord(
                      record.host(), record.incarnation(), fence, record.isReleased());
            })
        .peekLeft(failure -> LOG.warn("event=ownership_unreadable cause={}", failure));
  }

  /** Appends a record with this host's own call. */
  AppendResult append(OwnershipRecord record) {
    return advance(log.appendAt(Table.OWNERSHIP, end, encode(record)));
  }

  /**
   * Appends a record through another host if this host's own call is refused or gets no answer.
   * Both calls may reach the store; the condition lets one of them append at most.
   */
  AppendResult appendAnyWay(OwnershipRecord record) {
    TableRecord encoded = encode(record);
    long expectedEnd = end;
    AppendResult own =
        isRelayed
            ? new AppendResult.Refused("not tried")
            : ownCall(
                () -> log.appendAt(Table.OWNERSHIP, expectedEnd, encoded),
                new AppendResult.Unknown("no answer"));
    if (own instanceof AppendResult.Appended || own instanceof AppendResult.Conflict) {
      return advance(own);
    }
    AppendResult relayed = relay.appendAt(expectedEnd, encoded);
    isRelayed = relayed instanceof AppendResult.Appended;
    LOG.info("event=ownership_relayed at={} own={} relayed={}", expectedEnd, own, relayed);
    boolean mayBeWritten = own instanceof AppendResult.Unknown;
    return relayed instanceof AppendResult.Refused && mayBeWritten ? own : advance(relayed);
  }

  /** Returns whether the last append went through another host. */
  boolean isRelayed() {
    return isRelayed;
  }

  /** Returns whether this host's own calls reach the store. */
  boolean isReachable() {
    long from = end;
    LogReadResult unavailable = new LogReadResult.Unavailable("no answer");
    LogReadResult result = ownCall(() -> log.read(Table.OWNERSHIP, from, 0), unavailable);
    boolean isReachable = !(result instanceof LogReadResult.Unavailable);
    isRelayed &= !isReachable;
    return isReachable;
  }

  /** Returns the result of a call, or another one if it takes too long or fails. */
  private <T> T ownCall(Supplier<T> call, T otherwise) {
    CompletableFuture<T> result = CompletableFuture.supplyAsync(call, callExecutor);
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OWN_CALL_WAIT_MILLIS);
    while (true) {
      try {
        return result.get(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
      } catch (TimeoutException e) {
        return otherwise;
      } catch (ExecutionException e) {
        LOG.error("event=ownership_call_failed", e);
        return otherwise;
      } catch (InterruptedException e) {
        // Only a planned stop interrupts the thread, which still has to release the ownership. The
        // result of this call tells whether another way must be tried. The interrupt is not
        // restored, since it would cut short the calls that follow; the stop has set its own flag.
        LOG.debug("event=ownership_interrupted");
      }
    }
  }

  private AppendResult advance(AppendResult result) {
    if (result instanceof AppendResult.Appended appended) {
      end = appended.end();
    }
    return result;
  }

  private TableRecord encode(OwnershipRecord record) {
    return new TableRecord(KEY, codec.encode(record));
  }
}
