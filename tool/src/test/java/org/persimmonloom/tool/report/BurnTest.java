package org.persimmonloom.tool.report;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BurnTest {
  private static final BurnWindows WINDOWS = new BurnWindows(10_000, 100_000);
  private static final BurnCalculator CALCULATOR =
      new BurnCalculator(new TreeMap<>(Map.of("scan", 99.0)), WINDOWS);

  private static BurnSample sample(long seconds, String host, double met, double late) {
    ServiceCounts counts = new ServiceCounts(new TreeMap<>(Map.of("met", met, "late", late)));
    return new BurnSample(seconds * 1_000, host, new TreeMap<>(Map.of("scan", counts)));
  }

  private static ServiceBurn burn(long nowSeconds, BurnSample... samples) {
    return CALCULATOR.calculate(List.of(samples), nowSeconds * 1_000).get(0);
  }

  /** Guards against a budget that is not one percent of all requests for an objective of 99 %. */
  @ParameterizedTest
  @CsvSource({"1000, 0, 1.0", "995, 5, 0.5", "990, 10, 0.0", "980, 20, -1.0", "0, 0, 1.0"})
  void budgetLeftFollowsTheMissedShare(double met, double late, double left) {
    assertThat(burn(1, sample(1, "h1", met, late)).budgetLeft()).isCloseTo(left, within(1e-9));
  }

  /** Guards against a short window that still counts what burned before it. */
  @Test
  void windowsCountOnlyTheirOwnRequests() {
    ServiceBurn burn =
        burn(100, sample(0, "h1", 0, 0), sample(50, "h1", 80, 20), sample(95, "h1", 179, 21));
    assertThat(burn.shortBurnRate()).isCloseTo(1.0, within(1e-9));
    assertThat(burn.longBurnRate()).isCloseTo(10.5, within(1e-9));
  }

  /** Guards against rates made up where there were no requests. */
  @Test
  void aWindowWithoutRequestsHasNoRate() {
    ServiceBurn burn = burn(500, sample(1, "h1", 10, 0), sample(2, "h1", 20, 0));
    assertThat(burn.shortBurnRate()).isNull();
    assertThat(burn.longBurnRate()).isNull();
  }

  /** Guards against negative counts when an entry host restarts, and against mixed hosts. */
  @Test
  void resetsAndSeveralHostsAddUp() {
    ServiceBurn burn =
        burn(
            10,
            sample(1, "h1", 100, 0),
            sample(1, "h2", 1_000, 0),
            sample(5, "h1", 7, 3),
            sample(5, "h2", 1_010, 0));
    assertThat(burn.requests()).isEqualTo(1_120);
    assertThat(burn.shortBurnRate()).isCloseTo(3 / 20.0 / 0.01, within(1e-9));
  }

  /** Guards against a report that names the wrong cause. */
  @Test
  void theSpentBudgetIsSplitByOutcome() {
    ServiceCounts counts =
        new ServiceCounts(
            new TreeMap<>(Map.of("met", 90.0, "late", 2.0, "failed", 6.0, "refused", 2.0)));
    BurnSample sample = new BurnSample(1, "h1", new TreeMap<>(Map.of("scan", counts)));
    assertThat(CALCULATOR.calculate(List.of(sample), 1).get(0).spentBy())
        .isEqualTo(Map.of("late", 0.2, "failed", 0.6, "refused", 0.2));
  }

  /** Guards against pages with comments, other metrics, time stamps and escaped labels. */
  @Test
  void aMetricsPageBecomesASample() {
    String page =
        """
        # HELP persimmonloom_objective_total requests
        # TYPE persimmonloom_objective_total counter
        persimmonloom_objective_total{outcome="met",service="scan"} 12.0
        persimmonloom_objective_total{service="scan",outcome="late"} 3 1700000000000
        persimmonloom_request_seconds_bucket{service="scan",le="+Inf"} 15
        other{text="a \\"b\\", c=\\"d"} NaN
        broken{ 1
        """;
    List<MetricSample> metrics = new MetricsParser().parse(page);
    assertThat(metrics).hasSize(4);
    assertThat(metrics.get(3).labels()).isEqualTo(Map.of("text", "a \"b\", c=\"d"));
    assertThat(BurnSample.of(1, "h1", metrics).counts().get("scan").byOutcome())
        .isEqualTo(Map.of("met", 12.0, "late", 3.0));
  }

  /** Guards against samples that don't survive the file, and against an empty plot. */
  @Test
  void samplesAreKeptAndPlotted(@TempDir Path directory) throws Exception {
    SampleFile file = new SampleFile(directory.resolve("burn.jsonl"));
    List<BurnSample> samples = List.of(sample(1, "h1", 10, 0), sample(2, "h1", 15, 5));
    file.add(samples.subList(0, 1));
    file.add(samples.subList(1, 2));
    assertThat(file.read()).isEqualTo(samples);
    Path plot = directory.resolve("burn.png");
    BurnPlot.write(plot, CALCULATOR, List.of("scan"), samples);
    assertThat(Files.readAllBytes(plot)).startsWith(0x89, 'P', 'N', 'G');
  }
}
