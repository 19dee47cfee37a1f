package org.persimmonloom.runtime.caller;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.WorkClass;

/** Counters and histograms of the request path. Latencies are in seconds. Safe for any thread. */
@Singleton
public final class RequestMetrics {
  /** Label for requests to unknown or withdrawn services; it limits the number of series. */
  static final String NO_SERVICE = "-";

  private final Counter accepted;
  private final Counter requests;
  private final Counter retries;
  private final Counter attempts;
  private final Counter objective;
  private final Histogram seconds;

  @Inject
  public RequestMetrics(PrometheusRegistry registry) {
    accepted =
        Counter.builder()
            .name("persimmonloom_requests_accepted_total")
            .help("requests that entered the request path")
            .labelNames("service")
            .register(registry);
    requests =
        Counter.builder()
            .name("persimmonloom_requests_total")
            .help("answered requests by result code and run outcome")
            .labelNames("service", "result", "run")
            .register(registry);
    retries =
        Counter.builder()
            .name("persimmonloom_retries_total")
            .help("attempts after the first")
            .labelNames("service")
            .register(registry);
    attempts =
        Counter.builder()
            .name("persimmonloom_attempts_total")
            .help("attempts at endpoints by result")
            .labelNames("service", "result")
            .register(registry);
    objective =
        Counter.builder()
            .name("persimmonloom_objective_total")
            .help("requests that met or missed the objective of their service")
            .labelNames("service", "outcome")
            .register(registry);
    seconds =
        Histogram.builder()
            .name("persimmonloom_request_seconds")
            .help("time from the caller's headers to the answer")
            .labelNames("service", "work_class")
            .classicUpperBounds(0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
            .register(registry);
  }

  void countAccepted(String service) {
    accepted.labelValues(service).inc();
  }

  void countRetry(String service) {
    retries.labelValues(service).inc();
  }

  void countAttempt(String service, AttemptResult result) {
    attempts.labelValues(service, labelValue(result)).inc();
  }

  /** Counts the refusal of a request to an unknown or withdrawn service. */
  void countRefusal(CallerAnswer answer) {
    countResult(NO_SERVICE, answer);
  }

  /** Counts a refusal of a request that never entered the request path. */
  void countRefusal(ServiceDefinition service, CallerAnswer answer) {
    countResult(service.name(), answer);
    countObjective(service, answer, false);
  }

  /** Counts the answer of an accepted request. */
  void countAnswer(
      ServiceDefinition service, WorkClass workClass, CallerAnswer answer, long elapsedMillis) {
    countResult(service.name(), answer);
    seconds
        .labelValues(service.name(), workClass == null ? "none" : labelValue(workClass))
        .observe(elapsedMillis / 1_000.0);
    boolean isInTime = elapsedMillis <= service.objectiveLatencyMillis();
    countObjective(service, answer, isInTime);
  }

  private void countResult(String service, CallerAnswer answer) {
    requests
        .labelValues(service, Integer.toString(answer.code().number()), runLabel(answer.run()))
        .inc();
  }

  /**
   * Failures that the caller caused, such as a cancelled request or a wrong key, count as neither
   * met nor missed.
   */
  private void countObjective(ServiceDefinition service, CallerAnswer answer, boolean isInTime) {
    boolean isCausedByCaller = answer.response() == null && answer.status() < 500;
    if (!isCausedByCaller) {
      objective.labelValues(service.name(), objectiveOutcome(answer, isInTime)).inc();
    }
  }

  /** Returns {@code met}, or how the objective was missed. */
  private static String objectiveOutcome(CallerAnswer answer, boolean isInTime) {
    if (answer.failure() == null) {
      return isInTime ? "met" : "late";
    }
    return switch (answer.run()) {
      case NOT_RUN -> "refused";
      case UNKNOWN -> "unknown";
      case RAN -> "failed";
    };
  }

  private static String runLabel(RunOutcome outcome) {
    return outcome.headerValue();
  }

  private static String labelValue(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
