package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.FoldVersion;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.fold.Snapshots;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.wire.Codec;

/**
 * Measures how fast one thread decodes and folds claims, and the size and restore time of
 * snapshots. The log holds batches of full size from eight entry hosts; the first half warms the
 * program up and is not counted.
 */
public final class FoldMeasurement {
  private static final int HOSTS = 8;
  private static final int CLAIMS_IN_BATCH = 250;
  private static final int FOLDED_CLAIMS = 400_000;
  private static final int[] SNAPSHOT_CLAIMS = {1_000, 20_000, 200_000};
  private static final long START_MILLIS = 1_700_000_000_000L;
  private static final int REPEATS = 5;

  private FoldMeasurement() {}

  /** Returns the figures as lines of text. */
  public static String run() {
    List<String> lines = new ArrayList<>();
    lines.add(foldRate());
    for (int claims : SNAPSHOT_CLAIMS) {
      lines.add(snapshot(claims));
    }
    return String.join("\n", lines);
  }

  private static String foldRate() {
    List<byte[]> log = log(2 * FOLDED_CLAIMS);
    FleetState state = new FleetState();
    fold(state, log, 0, log.size() / 2);
    long startNanos = System.nanoTime();
    fold(state, log, log.size() / 2, log.size());
    double seconds = (System.nanoTime() - startNanos) / 1e9;
    int records = log.size() - log.size() / 2;
    return String.format(
        Locale.ROOT,
        "fold: %.0f records/s of %d claims, %.2f microseconds per claim, %d bytes per claim",
        records / seconds,
        CLAIMS_IN_BATCH,
        seconds * 1e6 / (records * (double) CLAIMS_IN_BATCH),
        log.get(log.size() - 1).length / CLAIMS_IN_BATCH);
  }

  private static String snapshot(int claims) {
    List<byte[]> log = log(claims);
    FleetState state = new FleetState();
    fold(state, log, 0, log.size());
    byte[] encoded = new byte[0];
    long bestEncodeNanos = Long.MAX_VALUE;
    long bestRestoreNanos = Long.MAX_VALUE;
    for (int repeat = 0; repeat < REPEATS; repeat++) {
      long startNanos = System.nanoTime();
      encoded = ProposalTypes.CODEC.encode(state.snapshot());
      long encodedNanos = System.nanoTime();
      FleetState restored = new FleetState();
      restored.restore(ProposalTypes.CODEC.decode(encoded, FleetSnapshot.class).get());
      bestRestoreNanos = Math.min(bestRestoreNanos, System.nanoTime() - encodedNanos);
      bestEncodeNanos = Math.min(bestEncodeNanos, encodedNanos - startNanos);
    }
    return String.format(
        Locale.ROOT,
        "snapshot: %d claims, %d bytes, %d chunks, encode %.1f ms, restore %.1f ms (best of %d)",
        state.claims().size(),
        encoded.length,
        Snapshots.split(log.size(), encoded).size(),
        bestEncodeNanos / 1e6,
        bestRestoreNanos / 1e6,
        REPEATS);
  }

  private static void fold(FleetState state, List<byte[]> log, int from, int to) {
    Codec codec = ProposalTypes.CODEC;
    for (int offset = from; offset < to; offset++) {
      state.apply(offset, codec.decode(log.get(offset), Batch.class).get());
    }
  }

  private static List<byte[]> log(int claims) {
    List<byte[]> log = new ArrayList<>();
    for (int host = 0; host < HOSTS; host++) {
      log.add(encode(host, 1, START_MILLIS, List.of(registration(host))));
    }
    int claim = 0;
    for (int sequence = 2; claim < claims; sequence++) {
      for (int host = 0; host < HOSTS && claim < claims; host++) {
        List<Proposal> proposals = new ArrayList<>();
        for (int index = 0; index < CLAIMS_IN_BATCH && claim < claims; index++) {
          proposals.add(claim(host, claim++));
        }
        log.add(encode(host, sequence, START_MILLIS + sequence * 33L, proposals));
      }
    }
    return log;
  }

  private static EntryHostSeen registration(int host) {
    return new EntryHostSeen("127.0.0.1:" + (7_200 + host), "127.0.0.1:" + (7_080 + host), "dc1");
  }

  private static ClaimRequested claim(int host, int number) {
    String key = String.format(Locale.ROOT, "%d-r%011d", START_MILLIS + number / 200, number);
    String claimId = START_MILLIS * 1_024 + "-" + host + "-" + number;
    return new ClaimRequested("pickup", key, number * 0x9E3779B97F4A7C15L, claimId, null);
  }

  private static byte[] encode(int host, int sequence, long millis, List<Proposal> proposals) {
    return ProposalTypes.CODEC.encode(
        new Batch(
            "entry-" + host,
            START_MILLIS * 1_024,
            sequence,
            FoldVersion.CURRENT,
            millis,
            proposals));
  }
}
