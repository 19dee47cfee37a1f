package org.persimmonloom.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.maintenance.FleetFixture;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.ServiceLoad;

class PoolDemandTest {
  private final FleetFixture fleet =
      FleetFixture.withPools(
          "[add service s]\npool = a\nworkers = w\nslots_per_endpoint = 4\n"
              + "[add service t]\npool = a\nslots_per_endpoint = 2\n"
              + "[add team x]\nquota_cores = 64\n");

  private Map<String, Double> read(Map<String, Map<String, ServiceLoad>> loads) {
    return PoolDemand.read(fleet.state, loads);
  }

  /** Guards against a demand that omits queued work or an entry host, or ignores the slot size. */
  @Test
  void demandSumsQueuedAndRunningWorkOfEntryHosts() {
    Map<String, ServiceLoad> loads = Map.of("s", new ServiceLoad(1, 2), "t", new ServiceLoad(0, 1));
    assertThat(read(Map.of("e1", loads, "e2", loads))).containsEntry("a", 10.0);
  }

  /** Guards against reading a missing report of an entry host or a service as demand of zero. */
  @Test
  void missingReportGivesNoReading() {
    Map<String, ServiceLoad> idle = Map.of("s", new ServiceLoad(0, 0), "t", new ServiceLoad(0, 0));
    assertThat(read(Map.of("e1", idle))).doesNotContainKey("a");
    assertThat(read(Map.of("e1", idle, "e2", Map.of("s", new ServiceLoad(0, 0)))))
        .doesNotContainKey("a");
    assertThat(read(Map.of("e1", idle, "e2", idle))).containsEntry("a", 0.0);
  }

  /** Guards against a demand of workers that omits queued jobs. */
  @Test
  void queuedJobsAddTheirCores() {
    assertThat(read(Map.of())).containsEntry("w", 0.0);
    JobSpec spec =
        new JobSpec(
            fleet.nowMillis + "-12345678",
            "x",
            "k",
            "s",
            new JobSize(3, 64, 0),
            1_000,
            false,
            true);
    assertThat(fleet.resultOf(new JobSubmitted(spec))).isEqualTo(ResultCode.OK);
    assertThat(read(Map.of())).containsEntry("w", 3.0);
  }

  /** Guards against readings that count for longer than the maximum interval before them. */
  @Test
  void gapBetweenReadingsStaysUnknown() {
    DemandObserver observer = new DemandObserver(CapacityFixtures.SETTINGS);
    long now = CapacityFixtures.NOW_MILLIS;
    observer.observe(Map.of("a", 8.0), now);
    observer.observe(Map.of(), now + 2_000);
    observer.observe(Map.of("a", 8.0), now + 100_000);
    DemandForecast forecast = observer.forecasts(now + 110_000).get("a");
    assertThat(forecast.coverage())
        .isEqualTo(2.0 * DemandObserver.MAX_INTERVAL_MILLIS / CapacityFixtures.WINDOW_MILLIS);
    assertThat(forecast.lagMillis()).isEqualTo(10_000);
    assertThat(forecast.peak()).isEqualTo(8);
  }
}
