package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonloom.core.claim.ClaimReleased;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

class SnapshotFoldTest {
  private static final int RECORDS = 400;
  private static final long START = 1_700_000_000_000L;
  private static final String NOTE =
      "[release]\nname = first\n[add pool pickup-pool]\nkind = executors\nservice = pickup\n";

  /**
   * Returns a log of several entry hosts with repeated and late batches, batches of earlier
   * incarnations and snapshot chunks.
   */
  private static List<Batch> randomLog(long seed) {
    Random random = new Random(seed);
    List<Batch> log = new ArrayList<>();
    FleetState state = new FleetState();
    List<SnapshotChunk> chunks = new ArrayList<>();
    long[] sequences = new long[5];
    for (int offset = 0; offset < RECORDS; offset++) {
      Batch batch = nextBatch(random, log, sequences, START + offset * 3_000L, chunks);
      log.add(batch);
      state.apply(offset, batch);
      if (offset % 90 == 50) {
        chunks.addAll(SnapshotAssembler.split(state.nextOffset(), encoded(state)));
        Collections.shuffle(chunks, random);
      }
    }
    return log;
  }

  private static Batch nextBatch(
      Random random, List<Batch> log, long[] sequences, long millis, List<SnapshotChunk> chunks) {
    if (!log.isEmpty() && random.nextInt(6) == 0) {
      return log.get(log.size() - 1 - random.nextInt(Math.min(20, log.size())));
    }
    int host = random.nextInt(sequences.length);
    sequences[host]++;
    List<Proposal> proposals = new ArrayList<>();
    if (sequences[host] == 1 || random.nextInt(4) == 0) {
      proposals.add(new EntryHostSeen("127.0.0.1:" + host, "127.0.0.1:" + host, "dc" + host % 2));
    }
    for (int count = random.nextInt(6); count >= 0; count--) {
      proposals.add(randomProposal(random, millis));
    }
    if (!chunks.isEmpty()) {
      proposals.add(chunks.get(random.nextInt(chunks.size())));
      proposals.add(chunks.remove(chunks.size() - 1));
    }
    long incarnation = 1 + millis / 120_000 % 7;
    return new Batch("entry-" + host, incarnation, sequences[host], 1, millis, proposals);
  }

  private static Proposal randomProposal(Random random, long millis) {
    long created = millis / 60_000 * 60_000 - random.nextInt(12) * 60_000L;
    String key = created + "-abcdefgh" + random.nextInt(3);
    String claim = "claim-" + random.nextInt(4);
    return switch (random.nextInt(9)) {
      case 0, 1, 2, 3 ->
          new ClaimRequested("pickup", key, 7, claim, random.nextBoolean() ? null : "claim-1");
      case 4 -> new ClaimSettled("pickup", key, claim, RunOutcome.RAN);
      case 5 -> new ClaimReleased("pickup", key, claim);
      case 6 -> new ReleaseProposed("operator", NOTE, random.nextInt(3));
      case 7 -> new EntryHostLost("entry-" + random.nextInt(5), 1 + millis / 120_000 % 7);
      default -> random.nextInt(8) == 0 ? new EntryHostLeft() : randomAdmission(random);
    };
  }

  private static HostAdmitted randomAdmission(Random random) {
    String name = "exec-" + random.nextInt(6);
    return new HostAdmitted(
        new HostFacts(
            name,
            HostKind.EXECUTOR,
            "127.0.0.1:1",
            "rack-1",
            "dc1",
            "local",
            8,
            1_024,
            0,
            "pickup-pool"));
  }

  private static byte[] encoded(FleetState state) {
    return ProposalTypes.CODEC.encode(state.snapshot());
  }

  private static void fold(FleetState state, List<Batch> log) {
    for (long offset = state.nextOffset(); offset < log.size(); offset++) {
      Batch stored =
          ProposalTypes.CODEC
              .decode(ProposalTypes.CODEC.encode(log.get((int) offset)), Batch.class)
              .get();
      assertThat(state.apply(offset, stored).isRight()).isTrue();
    }
  }

  /** Guards against a state that depends on the snapshot from which the fold was started. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void foldFromEachSnapshotEqualsFoldFromTheStart(long seed) {
    List<Batch> log = randomLog(seed);
    FleetState folded = new FleetState();
    fold(folded, log);
    assertThat(folded.claims().size()).isPositive();
    FleetState prefix = new FleetState();
    for (int end = 1; end <= log.size(); end += 7) {
      fold(prefix, log.subList(0, end));
      FleetSnapshot stored = ProposalTypes.CODEC.decode(encoded(prefix), FleetSnapshot.class).get();
      FleetState restored = new FleetState();
      assertThat(restored.restore(stored)).isEmpty();
      assertThat(encoded(restored)).isEqualTo(encoded(prefix));
      fold(restored, log);
      assertThat(encoded(restored)).isEqualTo(encoded(folded));
    }
  }

  /** Guards against lost or corrupt snapshots if several entry hosts write snapshots at once. */
  @Test
  void latestSnapshotIsAssembledFromMixedAndRepeatedChunks() {
    Random random = new Random(17);
    byte[] earlier = bytes(random, 3 * SnapshotAssembler.CHUNK_BYTES + 5);
    byte[] later = bytes(random, 2 * SnapshotAssembler.CHUNK_BYTES);
    byte[] damaged = later.clone();
    damaged[9]++;
    List<SnapshotChunk> chunks = new ArrayList<>();
    chunks.addAll(SnapshotAssembler.split(10, earlier));
    chunks.addAll(SnapshotAssembler.split(20, later));
    chunks.addAll(SnapshotAssembler.split(10, earlier));
    SnapshotChunk first = SnapshotAssembler.split(20, later).get(0);
    chunks.add(new SnapshotChunk(20, 0, 2, first.checksum() + 1, first.bytes()));
    chunks.add(new SnapshotChunk(20, 1, 2, first.checksum() + 1, new byte[3]));
    chunks.add(new SnapshotChunk(30, 5, 4, 1, new byte[0]));
    Collections.shuffle(chunks, random);
    SnapshotAssembler assembler = new SnapshotAssembler();
    byte[] latest = null;
    for (SnapshotChunk chunk : chunks) {
      Optional<Either<Failure, byte[]>> result = assembler.add(chunk);
      if (result.isPresent() && result.get().isRight()) {
        latest = result.get().get();
      } else if (result.isPresent()) {
        assertThat(result.get().getLeft().code()).isEqualTo(ResultCode.SNAPSHOT_INVALID);
      }
    }
    assertThat(latest).isEqualTo(later);
  }

  private static byte[] bytes(Random random, int length) {
    byte[] bytes = new byte[length];
    random.nextBytes(bytes);
    return bytes;
  }
}
