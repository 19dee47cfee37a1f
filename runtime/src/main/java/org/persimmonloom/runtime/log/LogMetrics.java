package org.persimmonloom.runtime.log;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Metrics of the committer, the follower and the snapshots. Safe for any thread. */
@Singleton
public final class LogMetrics {
  final Histogram appendSeconds;
  final Histogram batchProposals;
  final Histogram batchBytes;
  final Gauge queuedProposals;
  final Gauge nextOffset;
  final Counter failedAppends;
  final Counter repeatedAppends;
  final Counter newIncarnations;
  final Counter foldedRecords;
  final Counter peerRecords;
  final Counter errors;
  final Counter snapshotsWritten;

  @Inject
  public LogMetrics(PrometheusRegistry registry) {
    appendSeconds =
        histogram("append_seconds", "Time of an append, answered or not.")
            .classicExponentialUpperBounds(0.001, 2, 12)
            .register(registry);
    batchProposals =
        histogram("batch_proposals", "Proposals in a batch.")
            .classicExponentialUpperBounds(1, 2, 9)
            .register(registry);
    batchBytes =
        histogram("batch_bytes", "Bytes of a batch.")
            .classicExponentialUpperBounds(128, 2, 10)
            .register(registry);
    queuedProposals = gauge(registry, "queued_proposals", "Proposals that wait for a batch.");
    nextOffset = gauge(registry, "next_offset", "First offset that is not folded.");
    failedAppends = counter(registry, "failed_appends", "Appends without an answer.");
    repeatedAppends = counter(registry, "repeated_appends", "Appends of a batch after the first.");
    newIncarnations = counter(registry, "new_incarnations", "Incarnations taken after the first.");
    foldedRecords = counter(registry, "folded_records", "Records folded.");
    peerRecords = counter(registry, "peer_records", "Records folded that a peer supplied.");
    errors = counter(registry, "errors", "Unexpected errors that were handled.");
    snapshotsWritten = counter(registry, "snapshots_written", "Snapshots that this host wrote.");
  }

  private static Histogram.Builder histogram(String name, String help) {
    return Histogram.builder().name("persimmonloom_log_" + name).help(help).classicOnly();
  }

  private static Gauge gauge(PrometheusRegistry registry, String name, String help) {
    return Gauge.builder().name("persimmonloom_log_" + name).help(help).register(registry);
  }

  private static Counter counter(PrometheusRegistry registry, String name, String help) {
    return Counter.builder().name("persimmonloom_log_" + name).help(help).register(registry);
  }
}
