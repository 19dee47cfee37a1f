package org.persimmonloom.core.fold;

import java.util.Objects;

/**
 * One chunk of an encoded snapshot. Folding it changes no state; a starting entry host assembles
 * the snapshot from its chunks.
 *
 * @param snapshotOffset first offset that is not folded into the snapshot
 * @param index index of the chunk, from 0
 * @param total number of chunks of the snapshot
 * @param checksum xxHash of the whole snapshot
 * @param bytes the bytes of this chunk
 */
public record SnapshotChunk(long snapshotOffset, int index, int total, long checksum, byte[] bytes)
    implements Proposal {
  public SnapshotChunk {
    Objects.requireNonNull(bytes, "bytes");
  }
}
