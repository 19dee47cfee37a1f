package org.persimmonloom.runtime.peer;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Counters of the connections to peers. Safe for any thread. */
@Singleton
public final class PeerMetrics {
  final Counter malformedFrames;
  final Counter closedSilent;
  final Counter failedDials;
  final Counter refusedSends;
  final Counter errors;
  final Counter heartbeatBytes;
  final Gauge connections;

  @Inject
  public PeerMetrics(PrometheusRegistry registry) {
    malformedFrames =
        counter(registry, "peer_malformed_frames", "Connections closed for a malformed frame.");
    closedSilent =
        counter(registry, "peer_silent_connections", "Connections closed because of silence.");
    failedDials = counter(registry, "peer_failed_dials", "Connections that could not be opened.");
    refusedSends = counter(registry, "peer_refused_sends", "Frames refused by a full queue.");
    errors = counter(registry, "peer_errors", "Unexpected errors in the thread of the mesh.");
    heartbeatBytes = counter(registry, "peer_heartbeat_bytes", "Bytes of heartbeat frames sent.");
    connections =
        Gauge.builder()
            .name("persimmonloom_peer_connections")
            .help("Connections to named peers.")
            .register(registry);
  }

  private static Counter counter(PrometheusRegistry registry, String name, String help) {
    return Counter.builder().name("persimmonloom_" + name).help(help).register(registry);
  }
}
