package org.persimmonloom.runtime.log;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.fold.SnapshotAssembler;
import org.persimmonloom.core.fold.SnapshotChunk;
import org.persimmonloom.core.result.Failure;

/**
 * Looks through the retained records for the latest complete snapshot. Records themselves are not
 * kept: they are read again from the snapshot on. Confined to the thread of the follower.
 */
final class SnapshotLoader {
  private static final Logger LOGGER = LogManager.getLogger(SnapshotLoader.class);

  private final PlatformLog log;
  private final SnapshotAssembler chunks = new SnapshotAssembler();
  private long scanOffset;
  private long firstOffset;
  private byte[] latest;

  SnapshotLoader(PlatformLog log) {
    this.log = log;
  }

  /**
   * Reads one page.
   *
   * @return whether the end of the log is reached
   */
  boolean scan(int maxRecords, long waitMillis) throws IOException {
    LogPage page = log.read(scanOffset, maxRecords, waitMillis);
    firstOffset = page.firstOffset();
    if (page.fromOffset() != scanOffset || page.firstOffset() > scanOffset) {
      scanOffset = Math.max(page.firstOffset(), page.fromOffset());
    }
    if (page.fromOffset() == scanOffset) {
      page.records().forEach(this::collect);
      scanOffset += page.records().size();
    }
    return scanOffset >= page.nextOffset();
  }

  private void collect(byte[] record) {
    Either<Failure, Batch> batch = ProposalTypes.CODEC.decode(record, Batch.class);
    if (batch.isLeft()) {
      return;
    }
    for (Proposal proposal : batch.get().proposals()) {
      if (proposal instanceof SnapshotChunk chunk) {
        chunks
            .add(chunk)
            .ifPresent(
                whole ->
                    whole
                        .peek(bytes -> latest = bytes)
                        .peekLeft(failure -> LOGGER.warn("snapshot skipped: {}", failure)));
      }
    }
  }

  /** Returns the lowest retained offset, as of the last page. */
  long firstOffset() {
    return firstOffset;
  }

  /** Returns the latest complete snapshot; empty if there is none or it can't be decoded. */
  Optional<FleetSnapshot> latest() {
    if (latest == null) {
      return Optional.empty();
    }
    return ProposalTypes.CODEC
        .decode(latest, FleetSnapshot.class)
        .peekLeft(failure -> LOGGER.error("complete snapshot can't be decoded: {}", failure))
        .toJavaOptional();
  }
}
