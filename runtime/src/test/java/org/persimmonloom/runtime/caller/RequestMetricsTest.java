package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.core.routing.WorkClass;

class RequestMetricsTest {
  private static final ServiceDefinition SERVICE =
      new ServiceDefinition("scan", "pool", "", true, 1_000, 8, 8, 64, 100, 99.9, 500, 1);

  /**
   * Guards against outcome labels that the burn report doesn't know, and against a wrong cause of a
   * missed objective.
   */
  @Test
  void outcomeLabelsNameTheCauseOfAMissedObjective() {
    PrometheusRegistry registry = new PrometheusRegistry();
    RequestMetrics metrics = new RequestMetrics(registry);
    CallerAnswer answered = CallerAnswer.of(new CompleteResponse(200, List.of(), new byte[0]));
    metrics.countAnswer(SERVICE, WorkClass.SHORT, answered, 500);
    metrics.countAnswer(SERVICE, WorkClass.SHORT, answered, 501);
    metrics.countAnswer(
        SERVICE, null, CallerAnswer.notRun(Failure.of(ResultCode.QUEUE_FULL, "scan", 8)), 1);
    metrics.countAnswer(SERVICE, null, CallerAnswer.unknown("x"), 1);
    metrics.countAnswer(
        SERVICE, null, CallerAnswer.of(new CompleteResponse(500, List.of(), new byte[0])), 1);
    metrics.countAnswer(
        SERVICE,
        null,
        new CallerAnswer(null, Failure.of(ResultCode.DUPLICATE_ANSWER_GONE), RunOutcome.RAN),
        1);
    assertThat(outcomes(registry))
        .isEqualTo(Map.of("met", 1.0, "late", 1.0, "refused", 1.0, "unknown", 1.0, "failed", 1.0));
  }

  private static Map<String, Double> outcomes(PrometheusRegistry registry) {
    return registry.scrape(name -> name.equals("persimmonloom_objective")).stream()
        .map(CounterSnapshot.class::cast)
        .flatMap(counter -> counter.getDataPoints().stream())
        .collect(
            Collectors.toMap(
                point -> point.getLabels().get("outcome"),
                CounterSnapshot.CounterDataPointSnapshot::getValue));
  }
}
