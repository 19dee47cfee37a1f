package org.persimmonloom.core.fold;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.persimmonloom.core.member.RendezvousOrder;

/**
 * Decides when a snapshot is due and whether this host writes it.
 *
 * <p>A snapshot is due a quarter of the log's retention, or a number of records, after the last
 * complete one. The oldest record that a starting host needs is the first one after the last
 * complete snapshot. It stays within the retention as long as the due snapshot is written during
 * the other three quarters.
 *
 * <p>The first host in rendezvous order writes at once. Each later host waits {@link #TURN_MILLIS}
 * longer than the one before it, and restarts its wait for as long as new chunks appear in the log.
 * Which snapshot is due follows from the log alone; only the wait uses the local clock. Confined to
 * one thread or guarded by its owner's lock.
 */
public final class SnapshotSchedule {
  /** Records after which a small snapshot is due; limits how many a starting host must fold. */
  public static final long MAX_RECORDS = 20_000;

  /**
   * Records before the next snapshot is due, for each chunk of the last one. Limits chunks to one
   * percent of the appends; a snapshot of the planned fleet size has over 500 chunks.
   */
  public static final long RECORDS_PER_CHUNK = 100;

  /** Divisor of the retention; a snapshot is due after this fraction of it. */
  public static final int RETENTION_DIVISOR = 4;

  /** Time for which a host waits for the one before it in the order, or for the next chunk. */
  public static final long TURN_MILLIS = 10_000;

  private static final int MAX_INCOMPLETE = 64;
  private static final long NONE = -1;

  private final long intervalMillis;
  private final TreeMap<String, BitSet> incomplete = new TreeMap<>();
  private long lastOffset;
  private long lastChunks;
  private long lastFoldTimeMillis = NONE;
  private long dueOffset = NONE;
  private long dueSinceMillis;
  private long lastProgressMillis = Long.MIN_VALUE / 2;

  /** Creates the schedule for a log that keeps records for {@code retentionMillis}. */
  public SnapshotSchedule(long retentionMillis) {
    intervalMillis = Math.max(1, retentionMillis / RETENTION_DIVISOR);
  }

  /** Records that the state was restored from a snapshot with this offset and fold time. */
  public void recordRestore(long snapshotOffset, long foldTimeMillis) {
    incomplete.clear();
    recordComplete(snapshotOffset, foldTimeMillis);
  }

  /** Records the proposals of a folded batch. */
  public void recordBatch(
      long offset, long foldTimeMillis, List<? extends Proposal> proposals, long nowMillis) {
    if (lastFoldTimeMillis == NONE) {
      lastFoldTimeMillis = foldTimeMillis;
    }
    for (Proposal proposal : proposals) {
      if (proposal instanceof SnapshotChunk chunk) {
        addChunk(chunk, foldTimeMillis, nowMillis);
      }
    }
    boolean isDue =
        offset + 1 - lastOffset >= maxRecords()
            || foldTimeMillis - lastFoldTimeMillis >= intervalMillis;
    if (isDue && dueOffset == NONE) {
      dueOffset = offset + 1;
      dueSinceMillis = nowMillis;
    }
  }

  private long maxRecords() {
    return Math.max(MAX_RECORDS, lastChunks * RECORDS_PER_CHUNK);
  }

  private void addChunk(SnapshotChunk chunk, long foldTimeMillis, long nowMillis) {
    if (!SnapshotAssembler.isWellFormed(chunk) || chunk.snapshotOffset() <= lastOffset) {
      return;
    }
    lastProgressMillis = nowMillis;
    String key = chunk.snapshotOffset() + "/" + chunk.checksum() + "/" + chunk.total();
    if (incomplete.size() >= MAX_INCOMPLETE && !incomplete.containsKey(key)) {
      incomplete.pollFirstEntry();
    }
    BitSet indices = incomplete.computeIfAbsent(key, unused -> new BitSet());
    indices.set(chunk.index());
    if (indices.cardinality() == chunk.total()) {
      incomplete.remove(key);
      lastChunks = chunk.total();
      recordComplete(chunk.snapshotOffset(), foldTimeMillis);
    }
  }

  private void recordComplete(long snapshotOffset, long foldTimeMillis) {
    lastOffset = snapshotOffset;
    lastFoldTimeMillis = foldTimeMillis;
    dueOffset = NONE;
  }

  /** Returns whether a snapshot is due. */
  public boolean isDue() {
    return dueOffset != NONE;
  }

  /** Returns the offset of the last complete snapshot; 0 if there is none. */
  public long lastOffset() {
    return lastOffset;
  }

  /** Returns whether this host must start to write the due snapshot now. */
  public boolean isOwnTurn(String self, Collection<String> liveHosts, long nowMillis) {
    if (!isDue()) {
      return false;
    }
    int rank = RendezvousOrder.rank(liveHosts, "snapshot/" + dueOffset, self);
    return nowMillis - dueSinceMillis >= rank * TURN_MILLIS
        && nowMillis - lastProgressMillis >= TURN_MILLIS;
  }

  /** Records that this host has started to write, which keeps it from starting twice. */
  public void recordStart(long nowMillis) {
    lastProgressMillis = nowMillis;
  }
}
