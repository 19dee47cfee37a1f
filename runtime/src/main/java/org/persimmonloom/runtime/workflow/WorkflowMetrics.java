package org.persimmonloom.runtime.workflow;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the workflow services. Safe for any thread. */
public final class WorkflowMetrics {
  private static final double[] LATENCY_BUCKETS_SECONDS = {
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5
  };

  private static final double[] OWNER_BUCKETS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  final Histogram submissionSeconds =
      Histogram.builder()
          .name("persimmonloom_submission_seconds")
          .help("time until a submission or cancellation was decided")
          .labelNames("operation", "result")
          .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
          .register(registry);
  final Histogram appendSeconds =
      Histogram.builder()
          .name("persimmonloom_append_seconds")
          .help("time of one append to the platform's log, by its result")
          .labelNames("table", "result")
          .classicUpperBounds(LATENCY_BUCKETS_SECONDS)
          .register(registry);
  final Counter orders =
      Counter.builder()
          .name("persimmonloom_orders_total")
          .help("answers of workers to orders")
          .labelNames("order", "result")
          .register(registry);
  final Counter releasedRuns =
      Counter.builder()
          .name("persimmonloom_released_runs_total")
          .help("runs that no longer occupy their task, by what shows that they are over")
          .labelNames("proof")
          .register(registry);
  final Counter contradictedReleases =
      Counter.builder()
          .name("persimmonloom_contradicted_releases_total")
          .help("released runs that their worker shows later, by what had released them")
          .labelNames("proof")
          .register(registry);
  final Counter unknownRoutes =
      Counter.builder()
          .name("persimmonloom_unknown_routes_total")
          .help("requests for which the configuration in force has no route, by what that proves")
          .labelNames("answer")
          .register(registry);
  final Counter unknownWorkflows =
      Counter.builder()
          .name("persimmonloom_unknown_workflows_total")
          .help("requests about workflows that were answered as unknown")
          .labelNames("operation")
          .register(registry);
  final Counter machineOrders =
      Counter.builder()
          .name("persimmonloom_machine_orders_total")
          .help("answers of the platform to orders about hosts")
          .labelNames("order", "result")
          .register(registry);
  final Gauge fence =
      Gauge.builder()
          .name("persimmonloom_owner_fence")
          .help("fence of this host's ownership; 0 without ownership")
          .register(registry);

  final Gauge workflowsAgeSeconds =
      Gauge.builder()
          .name("persimmonloom_owner_workflows_age_seconds")
          .help("age of what the owner knows of the workflows, at its last pass")
          .register(registry);
  final Gauge renewalAgeSeconds =
      Gauge.builder()
          .name("persimmonloom_owner_renewal_age_seconds")
          .help("time since the owner's last renewal was sent, at its last pass")
          .register(registry);

  final Histogram passSeconds =
      Histogram.builder()
          .name("persimmonloom_owner_pass_seconds")
          .help("time of one pass of the owner over workers and workflows")
          .classicUpperBounds(OWNER_BUCKETS_SECONDS)
          .register(registry);
  final Histogram loopWaitSeconds =
      Histogram.builder()
          .name("persimmonloom_owner_wait_seconds")
          .help("time that an event waits for the owner's loop")
          .classicUpperBounds(OWNER_BUCKETS_SECONDS)
          .register(registry);
  final Histogram orderWaitSeconds =
      Histogram.builder()
          .name("persimmonloom_owner_order_wait_seconds")
          .help("time that an order waits for other orders until it is sent to its worker")
          .classicUpperBounds(OWNER_BUCKETS_SECONDS)
          .register(registry);
  final Gauge calls =
      Gauge.builder()
          .name("persimmonloom_owner_calls")
          .help("calls of the owner in progress")
          .register(registry);

  /** Returns the registry to expose. */
  public PrometheusRegistry registry() {
    return registry;
  }

  static double seconds(long millis) {
    return millis / 1_000.0;
  }

  static double secondsOfNanos(long nanos) {
    return nanos / 1e9;
  }
}
