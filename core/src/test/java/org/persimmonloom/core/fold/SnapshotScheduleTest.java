package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SnapshotScheduleTest {
  private static final List<String> HOSTS =
      List.of("entry-1", "entry-2", "entry-3", "entry-4", "entry-5", "entry-6", "entry-7");

  /** A snapshot that a host is writing, with the chunks that are not in the log yet. */
  private record SnapshotWrite(String host, List<SnapshotChunk> chunks) {}

  /** Guards against large snapshots that use up the append rate of the log. */
  @ParameterizedTest
  @CsvSource({"1, 20000", "200, 20000", "600, 60000"})
  void recordsUntilNextSnapshotAreProportionalToChunks(int chunks, long expected) {
    SnapshotSchedule schedule = new SnapshotSchedule(Long.MAX_VALUE);
    long offset = 0;
    List<SnapshotChunk> snapshot =
        SnapshotAssembler.split(10, new byte[chunks * SnapshotAssembler.CHUNK_BYTES]);
    for (SnapshotChunk chunk : snapshot) {
      schedule.recordBatch(offset++, 0, List.of(chunk), 0);
    }
    while (!schedule.isDue()) {
      schedule.recordBatch(offset++, 0, List.of(), 0);
    }
    assertThat(offset - schedule.lastOffset()).isEqualTo(expected);
  }

  /**
   * Guards against the expiry of records that a starting host needs. Of seven hosts, {@code
   * failing} stop after two chunks of each snapshot that they write.
   */
  @ParameterizedTest
  @CsvSource({"1, 0, 1200000", "2, 3, 1200000", "3, 6, 1200000", "4, 6, 86400000"})
  void oldestNeededRecordStaysWithinRetention(long seed, int failing, long retentionMillis) {
    Random random = new Random(seed);
    Map<String, SnapshotSchedule> schedules = new TreeMap<>();
    HOSTS.forEach(host -> schedules.put(host, new SnapshotSchedule(retentionMillis)));
    Set<String> failingHosts = new HashSet<>(HOSTS.subList(0, failing));
    List<Long> times = new ArrayList<>();
    List<SnapshotWrite> writes = new ArrayList<>();
    int startedWrites = 0;
    long now = 0;
    while (now < 3 * retentionMillis) {
      now += 500 + random.nextInt(2_000);
      List<Proposal> proposals = new ArrayList<>();
      for (SnapshotWrite write : writes) {
        if (!write.chunks().isEmpty()) {
          proposals.add(write.chunks().remove(0));
        }
      }
      times.add(now);
      long offset = times.size() - 1L;
      for (String host : HOSTS) {
        SnapshotSchedule schedule = schedules.get(host);
        schedule.recordBatch(offset, now, proposals, now);
        if (schedule.isOwnTurn(host, HOSTS, now)) {
          schedule.recordStart(now);
          List<SnapshotChunk> chunks =
              new ArrayList<>(
                  SnapshotAssembler.split(offset + 1, new byte[5 * SnapshotAssembler.CHUNK_BYTES]));
          writes.add(
              new SnapshotWrite(host, failingHosts.contains(host) ? chunks.subList(0, 2) : chunks));
          startedWrites++;
        }
      }
      long neededOffset = schedules.get("entry-7").lastOffset();
      long neededMillis = times.get((int) Math.min(neededOffset, offset));
      assertThat(now - neededMillis).isLessThan(retentionMillis);
    }
    assertThat(startedWrites).isGreaterThan(8);
    assertThat(schedules.values().stream().map(SnapshotSchedule::lastOffset).distinct()).hasSize(1);
  }

  /**
   * Guards against a starting host that must fold more than {@link SnapshotSchedule#MAX_RECORDS}
   * records, and against snapshots that are due too early.
   */
  @Test
  void snapshotIsDueAfterMaxRecords() {
    SnapshotSchedule schedule = new SnapshotSchedule(Long.MAX_VALUE);
    for (long offset = 0; offset < SnapshotSchedule.MAX_RECORDS - 1; offset++) {
      schedule.recordBatch(offset, 1_000, List.of(), 1_000);
    }
    assertThat(schedule.isDue()).isFalse();
    schedule.recordBatch(SnapshotSchedule.MAX_RECORDS - 1, 1_000, List.of(), 1_000);
    assertThat(schedule.isDue()).isTrue();
    schedule.recordRestore(SnapshotSchedule.MAX_RECORDS, 1_000);
    assertThat(schedule.isDue()).isFalse();
  }

  /** Guards against several hosts that write the same snapshot at once. */
  @Test
  void hostsStartInTurnAndWaitWhileChunksAppear() {
    long[] startMillis = new long[HOSTS.size()];
    SnapshotSchedule schedule = new SnapshotSchedule(4_000);
    schedule.recordBatch(0, 0, List.of(), 0);
    schedule.recordBatch(1, 1_000, List.of(), 1_000);
    for (int index = 0; index < startMillis.length; index++) {
      startMillis[index] = 1_000;
      while (!schedule.isOwnTurn(HOSTS.get(index), HOSTS, startMillis[index])) {
        startMillis[index] += 1_000;
      }
    }
    assertThat(startMillis)
        .containsExactlyInAnyOrder(1_000, 11_000, 21_000, 31_000, 41_000, 51_000, 61_000);
    schedule.recordBatch(
        2, 1_000, SnapshotAssembler.split(2, new byte[99_999]).subList(0, 1), 60_000);
    HOSTS.forEach(host -> assertThat(schedule.isOwnTurn(host, HOSTS, 69_999)).isFalse());
  }
}
