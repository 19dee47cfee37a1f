package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Splits encoded snapshots into chunks and assembles snapshots from chunks. Chunks may be added in
 * any order, may repeat, and may belong to different snapshots, including snapshots with different
 * contents for the same offset. Not thread-safe.
 */
public final class SnapshotAssembler {
  /**
   * Size of a chunk. A batch with one chunk must fit into the log's record limit of 64 KiB,
   * including the fields of the batch.
   */
  public static final int CHUNK_BYTES = 48 * 1024;

  private static final int MAX_CHUNKS = 4_096;
  private static final long NONE = -1;

  private final TreeMap<SnapshotKey, byte[][]> incomplete = new TreeMap<>();
  private long completeOffset = NONE;

  /** The attributes that all chunks of one snapshot share. */
  private record SnapshotKey(long snapshotOffset, long checksum, int total)
      implements Comparable<SnapshotKey> {
    private static final Comparator<SnapshotKey> ORDER =
        Comparator.comparingLong(SnapshotKey::snapshotOffset)
            .thenComparingLong(SnapshotKey::checksum)
            .thenComparingInt(SnapshotKey::total);

    @Override
    public int compareTo(SnapshotKey other) {
      return ORDER.compare(this, other);
    }
  }

  /** Splits an encoded snapshot into chunks. */
  public static List<SnapshotChunk> split(long snapshotOffset, byte[] encoded) {
    long checksum = LongHashFunction.xx().hashBytes(encoded);
    int total = Math.max(1, (encoded.length + CHUNK_BYTES - 1) / CHUNK_BYTES);
    List<SnapshotChunk> chunks = new ArrayList<>();
    for (int index = 0; index < total; index++) {
      int from = index * CHUNK_BYTES;
      int to = Math.min(encoded.length, from + CHUNK_BYTES);
      chunks.add(
          new SnapshotChunk(
              snapshotOffset, index, total, checksum, Arrays.copyOfRange(encoded, from, to)));
    }
    return chunks;
  }

  /**
   * Adds a chunk. Chunks of a snapshot that is not later than the latest complete one are dropped.
   *
   * @return the encoded snapshot if this chunk completes it; empty if chunks are missing or the
   *     chunk was dropped; {@link ResultCode#SNAPSHOT_INVALID} if the chunk is malformed or the
   *     checksum of the completed snapshot does not match
   */
  public Optional<Either<Failure, byte[]>> add(SnapshotChunk chunk) {
    if (!isWellFormed(chunk)) {
      return Optional.of(invalid(chunk, "chunk index " + chunk.index() + " of " + chunk.total()));
    }
    if (chunk.snapshotOffset() <= completeOffset) {
      return Optional.empty();
    }
    SnapshotKey key = new SnapshotKey(chunk.snapshotOffset(), chunk.checksum(), chunk.total());
    byte[][] chunks = incomplete.computeIfAbsent(key, unused -> new byte[chunk.total()][]);
    chunks[chunk.index()] = chunk.bytes();
    if (Arrays.stream(chunks).anyMatch(bytes -> bytes == null)) {
      return Optional.empty();
    }
    byte[] whole = join(chunks);
    if (LongHashFunction.xx().hashBytes(whole) != chunk.checksum()) {
      incomplete.remove(key);
      return Optional.of(invalid(chunk, "checksum mismatch"));
    }
    completeOffset = chunk.snapshotOffset();
    incomplete.keySet().removeIf(other -> other.snapshotOffset() <= completeOffset);
    return Optional.of(Either.right(whole));
  }

  /** Returns whether the index and the total of a chunk are within their limits. */
  static boolean isWellFormed(SnapshotChunk chunk) {
    return chunk.total() >= 1
        && chunk.total() <= MAX_CHUNKS
        && chunk.index() >= 0
        && chunk.index() < chunk.total();
  }

  private static Either<Failure, byte[]> invalid(SnapshotChunk chunk, String reason) {
    return Either.left(Failure.of(ResultCode.SNAPSHOT_INVALID, chunk.snapshotOffset(), reason));
  }

  private static byte[] join(byte[][] chunks) {
    int length = Arrays.stream(chunks).mapToInt(chunk -> chunk.length).sum();
    byte[] whole = new byte[length];
    int position = 0;
    for (byte[] chunk : chunks) {
      System.arraycopy(chunk, 0, whole, position, chunk.length);
      position += chunk.length;
    }
    return whole;
  }
}
