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

  /** A snapshot that a host is writing: its chunks that are not in the log yet. */
  private record Writing(String host, List<SnapshotChunk> chunks) {}

  /** Guards against large snapshots that take the log's appends from everything else. */
  @ParameterizedTest
  @CsvSource({"1, 20000", "200, 20000", "600, 60000"})
  void nextSnapshotIsDueAfterRecordsInProportionToItsChunks(int chunks, long expected) {
    SnapshotSchedule schedule = new SnapshotSchedule(Long.MAX_VALUE);
    long offset = 0;
    List<SnapshotChunk> parts =
        SnapshotAssembler.split(10, new byte[chunks * SnapshotAssembler.CHUNK_BYTES]);
    for (SnapshotChunk part : parts) {
      schedule.recordBatch(offset++, 0, List.of(part), 0);
    }
    while (!schedule.isDue()) {
      schedule.recordBatch(offset++, 0, List.of(), 0);
    }
    assertThat(offset - schedule.lastOffset()).isEqualTo(expected);
  }

  /**
   * Guards against needed records that expire: of seven hosts up to {@code failing} stop in the
   * middle of each snapshot that they begin.
   */
  @ParameterizedTest
  @CsvSource({"1, 0, 1200000", "2, 3, 1200000", "3, 6, 1200000", "4, 6, 86400000"})
  void oldestNeededRecordIsYoungerThanTheRetention(long seed, int failing, long retentionMillis) {
    Random random = new Random(seed);
    Map<String, SnapshotSchedule> schedules = new TreeMap<>();
    HOSTS.forEach(host -> schedules.put(host, new SnapshotSchedule(retentionMillis)));
    Set<String> broken = new HashSet<>(HOSTS.subList(0, failing));
    List<Long> times = new ArrayList<>();
    List<Writing> writings = new ArrayList<>();
    int written = 0;
    long now = 0;
    while (now < 3 * retentionMillis) {
      now += 500 + random.nextInt(2_000);
      List<Proposal> proposals = new ArrayList<>();
      for (Writing writing : writings) {
        if (!writing.chunks().isEmpty()) {
          proposals.add(writing.chunks().remove(0));
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
          writings.add(new Writing(host, broken.contains(host) ? chunks.subList(0, 2) : chunks));
          written++;
        }
      }
      long neededOffset = schedules.get("entry-7").lastOffset();
      long neededMillis = times.get((int) Math.min(neededOffset, offset));
      assertThat(now - neededMillis).isLessThan(retentionMillis);
    }
    assertThat(written).isGreaterThan(8);
    assertThat(schedules.values().stream().map(SnapshotSchedule::lastOffset).distinct()).hasSize(1);
  }

  /**
   * Guards against a start that must fold more records than agreed, and against early snapshots.
   */
  @Test
  void snapshotIsDueAfterTheAgreedNumberOfRecords() {
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

  /** Guards against all hosts writing the same snapshot at once. */
  @Test
  void oneHostBeginsAndLaterOnesWaitForItsChunks() {
    long[] started = new long[HOSTS.size()];
    SnapshotSchedule schedule = new SnapshotSchedule(4_000);
    schedule.recordBatch(0, 0, List.of(), 0);
    schedule.recordBatch(1, 1_000, List.of(), 1_000);
    for (int index = 0; index < started.length; index++) {
      started[index] = 1_000;
      while (!schedule.isOwnTurn(HOSTS.get(index), HOSTS, started[index])) {
        started[index] += 1_000;
      }
    }
    assertThat(started)
        .containsExactlyInAnyOrder(1_000, 11_000, 21_000, 31_000, 41_000, 51_000, 61_000);
    schedule.recordBatch(
        2, 1_000, SnapshotAssembler.split(2, new byte[99_999]).subList(0, 1), 60_000);
    HOSTS.forEach(host -> assertThat(schedule.isOwnTurn(host, HOSTS, 69_999)).isFalse());
  }
}
