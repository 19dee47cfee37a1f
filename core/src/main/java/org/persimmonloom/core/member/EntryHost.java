package org.persimmonloom.core.member;

/**
 * A registered entry host.
 *
 * @param name unique name
 * @param incarnation the run of its process that is registered
 * @param lastSequence highest batch sequence folded from this incarnation
 * @param clockMillis the clock in its last batch; limits how far other clocks move fold time
 * @param isLive whether the registration is in force; a host that left or was lost stays in the
 *     table until its delayed batches can no longer arrive
 * @param seenMillis fold time of the last registration or renewal
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
