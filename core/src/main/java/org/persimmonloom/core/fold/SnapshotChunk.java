package org.persimmonloom.core.fold;

import java.util.Objects;

/**
 * One part of an encoded snapshot. It changes no state; a starting entry host collects the parts.
 *
 * @param snapshotOffset first offset that the snapshot does not contain
 * @param index from 0
 * @param total number of parts
 * @param checksum xxHash of the whole snapshot
 * @param bytes the part
 */
public record SnapshotChunk(long snapshotOffset, int index, int total, long checksum, byte[] bytes)
    implements Proposal {
  public SnapshotChunk {
    Objects.requireNonNull(bytes, "bytes");
  }
}
