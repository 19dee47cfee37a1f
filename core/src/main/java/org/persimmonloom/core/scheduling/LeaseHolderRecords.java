package org.persimmonloom.core.scheduling;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Encodes and decodes the records of workers that may hold leases. They are kept in the table of
 * the workflows, so that a new owner's takeover shuts out the records of earlier owners. Immutable
 * and thread-safe.
 */
public final class LeaseHolderRecords {
  private static final String PREFIX = "w.";

  private final Codec codec = new Codec(Map.of());

  /** Returns the record of a worker that may hold leases. */
  public TableRecord record(WorkerFacts facts) {
    return new TableRecord(key(facts.id()), codec.encode(facts));
  }

  /** Returns the record that removes a worker. */
  public TableRecord removal(String worker) {
    return new TableRecord(key(worker), null);
  }

  /** Returns the key of the record of a worker. */
  static String key(String worker) {
    return PREFIX + worker;
  }

  /** Returns the identifier of the worker that a record is about; empty for other records. */
  public Optional<String> worker(TableRecord record) {
    return record.key().startsWith(PREFIX)
        ? Optional.of(record.key().substring(PREFIX.length()))
        : Optional.empty();
  }

  /** Decodes the value of a record. */
  public Either<Failure, WorkerFacts> read(byte[] value) {
    return codec.decode(value, WorkerFacts.class);
  }
}
