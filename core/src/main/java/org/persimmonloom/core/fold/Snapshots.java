package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import net.openhft.hashing.LongHashFunction;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Splits snapshots into chunks and collects them again. Chunks of several snapshots and repeated
 * chunks may be mixed in any order. Not safe for use by several threads.
 */
public final class Snapshots {
  /** Leaves room for the frame of a batch within the log's record limit of 64 KiB. */
  public static final int CHUNK_BYTES = 48 * 1024;

  private static final int MAX_CHUNKS = 4_096;

  private final TreeMap<Long, byte[][]> parts = new TreeMap<>();

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
   * Adds a chunk and returns the whole snapshot once all its chunks are there. Snapshots older than
   * a complete one are dropped.
   */
  public Optional<Either<Failure, byte[]>> add(SnapshotChunk chunk) {
    if (chunk.total() < 1
        || chunk.total() > MAX_CHUNKS
        || chunk.index() < 0
        || chunk.index() >= chunk.total()) {
      return Optional.of(invalid(chunk, "chunk " + chunk.index() + " of " + chunk.total()));
    }
    byte[][] collected =
        parts.computeIfAbsent(chunk.snapshotOffset(), unused -> new byte[chunk.total()][]);
    if (collected.length != chunk.total()) {
      return Optional.of(invalid(chunk, "chunk counts differ"));
    }
    collected[chunk.index()] = chunk.bytes();
    if (Arrays.stream(collected).anyMatch(part -> part == null)) {
      return Optional.empty();
    }
    parts.headMap(chunk.snapshotOffset(), true).clear();
    byte[] whole = join(collected);
    if (LongHashFunction.xx().hashBytes(whole) != chunk.checksum()) {
      return Optional.of(invalid(chunk, "checksum differs"));
    }
    return Optional.of(Either.right(whole));
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
