package org.persimmonloom.core.member;

/**
 * A registered entry host.
 *
 * @param name unique name
 * @param incarnation registered incarnation; each start of the process has a new one
 * @param lastSequence highest batch sequence folded from this incarnation
 * @param clockMillis clock time of its last batch, in milliseconds since the epoch; limits how far
 *     the clocks of other hosts can advance fold time
 * @param isLive whether the registration is active; a host that left or was lost stays in the table
 *     until its delayed batches can no longer arrive
 * @param seenMillis fold time of the last registration or renewal, in milliseconds
 */
public record EntryHost(
    String name,
    long incarnation,
    long lastSequence,
    long clockMillis,
    boolean isLive,
    long seenMillis,
    String peerAddress,
    String operatorAddress,
    String dataCentre) {
  EntryHost withBatch(long sequence, long batchMillis) {
    return with(sequence, batchMillis, isLive);
  }

  EntryHost ended() {
    return with(lastSequence, clockMillis, false);
  }

  private EntryHost with(long sequence, long batchMillis, boolean live) {
    return new EntryHost(
        name,
        incarnation,
        sequence,
        batchMillis,
        live,
        seenMillis,
        peerAddress,
        operatorAddress,
        dataCentre);
  }
}
