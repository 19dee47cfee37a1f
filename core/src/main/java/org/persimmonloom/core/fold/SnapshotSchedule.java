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
 * complete one. So the oldest record that a starting host needs, the first one after the last
 * complete snapshot, stays younger than the retention as long as a snapshot is written within the
 * other three quarters. The first host in rendezvous order writes at once; each later one waits
 * longer and begins again to wait while chunks still appear. Which snapshot is due follows from the
 * log alone; only the waiting uses the own clock. Confined to one thread or guarded by its owner's
 * lock.
 */
public final class SnapshotSchedule {
  /** Records after which a small snapshot is due; limits what a starting host must fold. */
  public static final long MAX_RECORDS = 20_000;

  /**
   * Records for each chunk of the last snapshot, before the next is due: chunks take at most one
   * percent of the appends. A snapshot of the future size has over 500 chunks.
   */
  public static final long RECORDS_PER_CHUNK = 100;

  /** Share of the retention after which a snapshot is due. */
  public static final int RETENTION_PARTS = 4;

  /** How long each host waits for the one before it in the order, or for the next chunk. */
  public static final long TURN_MILLIS = 10_000;

  private static final int MAX_OPEN = 64;
  private static final long NONE = -1;

  private final long intervalMillis;
  private final TreeMap<String, BitSet> open = new TreeMap<>();
  private long lastOffset;
  private long lastChunks;
  private long lastMillis = NONE;
  private long dueOffset = NONE;
  private long dueSinceMillis;
  private long progressMillis = Long.MIN_VALUE / 2;

  /** Creates the schedule for a log that keeps records for {@code retentionMillis}. */
  public SnapshotSchedule(long retentionMillis) {
    intervalMillis = Math.max(1, retentionMillis / RETENTION_PARTS);
  }

  /** Notes that the state was restored from the snapshot at the offset and its fold time. */
  public void recordRestore(long snapshotOffset, long foldTimeMillis) {
    open.clear();
    completed(snapshotOffset, foldTimeMillis);
  }

  /** Takes in a folded batch. */
  public void recordBatch(
      long offset, long foldTimeMillis, List<? extends Proposal> proposals, long nowMillis) {
    if (lastMillis == NONE) {
      lastMillis = foldTimeMillis;
    }
    for (Proposal proposal : proposals) {
      if (proposal instanceof SnapshotChunk chunk) {
        add(chunk, foldTimeMillis, nowMillis);
      }
    }
    boolean isDue =
        offset + 1 - lastOffset >= maxRecords() || foldTimeMillis - lastMillis >= intervalMillis;
    if (isDue && dueOffset == NONE) {
      dueOffset = offset + 1;
      dueSinceMillis = nowMillis;
    }
  }

  private long maxRecords() {
    return Math.max(MAX_RECORDS, lastChunks * RECORDS_PER_CHUNK);
  }

  private void add(SnapshotChunk chunk, long foldTimeMillis, long nowMillis) {
    if (!SnapshotAssembler.isWellFormed(chunk) || chunk.snapshotOffset() <= lastOffset) {
      return;
    }
    progressMillis = nowMillis;
    String key = chunk.snapshotOffset() + "/" + chunk.checksum() + "/" + chunk.total();
    if (open.size() >= MAX_OPEN && !open.containsKey(key)) {
      open.pollFirstEntry();
    }
    BitSet indices = open.computeIfAbsent(key, unused -> new BitSet());
    indices.set(chunk.index());
    if (indices.cardinality() == chunk.total()) {
      open.remove(key);
      lastChunks = chunk.total();
      completed(chunk.snapshotOffset(), foldTimeMillis);
    }
  }

  private void completed(long snapshotOffset, long foldTimeMillis) {
    lastOffset = snapshotOffset;
    lastMillis = foldTimeMillis;
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

  /** Returns whether this host begins to write the due snapshot now. */
  public boolean isOwnTurn(String self, Collection<String> liveHosts, long nowMillis) {
    if (!isDue()) {
      return false;
    }
    int rank = RendezvousOrder.rank(liveHosts, "snapshot/" + dueOffset, self);
    return nowMillis - dueSinceMillis >= rank * TURN_MILLIS
        && nowMillis - progressMillis >= TURN_MILLIS;
  }

  /** Notes that this host began to write, so that it does not begin twice. */
  public void recordStart(long nowMillis) {
    progressMillis = nowMillis;
  }
}
