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
 * Splits snapshots into chunks and collects them again. Chunks of several snapshots, of different
 * contents for the same offset, and repeated chunks may be mixed in any order. Not safe for use by
 * several threads.
 */
public final class SnapshotAssembler {
  /** Leaves room for the frame of a batch within the log's record limit of 64 KiB. */
  public static final int CHUNK_BYTES = 48 * 1024;

  private static final int MAX_CHUNKS = 4_096;
  private static final long NONE = -1;

  private final TreeMap<Key, byte[][]> parts = new TreeMap<>();
  private long completeOffset = NONE;

  /** What the chunks of one snapshot have in common. */
  private record Key(long snapshotOffset, long checksum, int total) implements Comparable<Key> {
    private static final Comparator<Key> ORDER =
        Comparator.comparingLong(Key::snapshotOffset)
            .thenComparingLong(Key::checksum)
            .thenComparingInt(Key::total);

    @Override
    public int compareTo(Key other) {
      return ORDER.compare(this, other);
    }
  }

  /** Returns the chunks of an encoded snapshot. */
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
   * Adds a chunk and returns the whole snapshot once all its chunks are there. Chunks of a snapshot
   * that is no later than a complete one are dropped.
   */
  public Optional<Either<Failure, byte[]>> add(SnapshotChunk chunk) {
    if (!isWellFormed(chunk)) {
      return Optional.of(invalid(chunk, "chunk " + chunk.index() + " of " + chunk.total()));
    }
    if (chunk.snapshotOffset() <= completeOffset) {
      return Optional.empty();
    }
    Key key = new Key(chunk.snapshotOffset(), chunk.checksum(), chunk.total());
    byte[][] collected = parts.computeIfAbsent(key, unused -> new byte[chunk.total()][]);
    collected[chunk.index()] = chunk.bytes();
    if (Arrays.stream(collected).anyMatch(part -> part == null)) {
      return Optional.empty();
    }
    byte[] whole = join(collected);
    if (LongHashFunction.xx().hashBytes(whole) != chunk.checksum()) {
      parts.remove(key);
      return Optional.of(invalid(chunk, "checksum differs"));
    }
    completeOffset = chunk.snapshotOffset();
    parts.keySet().removeIf(other -> other.snapshotOffset() <= completeOffset);
    return Optional.of(Either.right(whole));
  }

  /** Returns whether index and total of a chunk are within their limits. */
  static boolean isWellFormed(SnapshotChunk chunk) {
    return chunk.total() >= 1
        && chunk.total() <= MAX_CHUNKS
        && chunk.index() >= 0
        && chunk.index() < chunk.total();
  }

  private static Either<Failure, byte[]> invalid(SnapshotChunk chunk, String reason) {
    return Either.left(Failure.of(ResultCode.SNAPSHOT_INVALID, chunk.snapshotOffset(), reason));
  }

  private static byte[] join(byte[][] collected) {
    int length = Arrays.stream(collected).mapToInt(part -> part.length).sum();
    byte[] whole = new byte[length];
    int at = 0;
    for (byte[] part : collected) {
      System.arraycopy(part, 0, whole, at, part.length);
      at += part.length;
    }
    return whole;
  }
}
