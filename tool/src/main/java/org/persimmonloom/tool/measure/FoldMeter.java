package org.persimmonloom.tool.measure;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.FoldVersion;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;

/**
 * Measures what folding costs: encodes proposals as batches, decodes and folds them into a fresh
 * state, and encodes and restores its snapshot. Not safe for use by several threads.
 */
final class FoldMeter {
  private static final int BATCH_PROPOSALS = 100;
  private static final int NANOS_PER_MICRO = 1_000;

  private final List<byte[]> preparation;
  private long sequence;

  FoldMeter() {
    List<Proposal> proposals = new ArrayList<>();
    proposals.add(FoldWorkload.registration());
    preparation = new ArrayList<>(encode(proposals));
    FoldWorkload.preparation().forEach(note -> preparation.addAll(encode(List.of(note))));
  }

  /**
   * Returns the cost of the workload at one size.
   *
   * @throws IllegalStateException if the fold refuses a proposal, since the figures would then
   *     describe something else
   */
  SlopeSample measure(FoldWorkload workload, int size) {
    long sequenceBefore = sequence;
    List<Proposal> proposals = workload.proposals(size);
    List<byte[]> records = encode(proposals);
    long logBytes = records.stream().mapToLong(record -> record.length).sum();
    FleetState state = prepared();
    long heapBefore = usedHeap();
    long start = System.nanoTime();
    records.forEach(record -> fold(state, record));
    long foldMicros = microsSince(start);
    long heapBytes = usedHeap() - heapBefore;
    start = System.nanoTime();
    byte[] snapshot = ProposalTypes.CODEC.encode(state.snapshot());
    long snapshotMicros = microsSince(start);
    start = System.nanoTime();
    FleetState restored = new FleetState();
    restored.restore(ProposalTypes.CODEC.decode(snapshot, FleetSnapshot.class).get());
    long restoreMicros = microsSince(start);
    if (restored.nextOffset() != state.nextOffset()) {
      throw new IllegalStateException("the restored state differs");
    }
    sequence = sequenceBefore;
    return new SlopeSample(
        proposals.size(),
        logBytes,
        foldMicros,
        snapshot.length,
        snapshotMicros,
        restoreMicros,
        heapBytes);
  }

  private FleetState prepared() {
    FleetState state = new FleetState();
    preparation.forEach(record -> fold(state, record));
    return state;
  }

  private List<byte[]> encode(List<Proposal> proposals) {
    List<byte[]> records = new ArrayList<>();
    for (int from = 0; from < proposals.size(); from += BATCH_PROPOSALS) {
      int to = Math.min(proposals.size(), from + BATCH_PROPOSALS);
      sequence++;
      records.add(
          ProposalTypes.CODEC.encode(
              new Batch(
                  "entry-1",
                  1,
                  sequence,
                  FoldVersion.CURRENT,
                  FoldWorkload.NOW_MILLIS,
                  proposals.subList(from, to))));
    }
    return records;
  }

  private static void fold(FleetState state, byte[] record) {
    Batch batch = ProposalTypes.CODEC.decode(record, Batch.class).get();
    for (ProposalResult verdict : state.apply(state.nextOffset(), batch).get()) {
      if (!verdict.isAccepted()) {
        throw new IllegalStateException(verdict.code() + ": " + verdict.detail());
      }
    }
  }

  private static long microsSince(long startNanos) {
    return (System.nanoTime() - startNanos) / NANOS_PER_MICRO;
  }

  private static long usedHeap() {
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }
}
