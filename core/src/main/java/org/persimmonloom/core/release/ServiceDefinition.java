package org.persimmonloom.core.release;

import java.util.Map;

/**
 * A service that callers name in the first segment of the path.
 *
 * @param pool pool of executors that serve its requests
 * @param workers pool of workers that run its jobs; empty if it has none
 * @param isRepeatable whether a request may be sent again after it may have run
 * @param deadlineMillis deadline of a request that does not state one
 * @param queueLimit maximum number of requests that one entry host queues for the service
 * @param slotsPerEndpoint maximum number of requests that one endpoint runs concurrently
 * @param connectionsPerEndpoint maximum number of connections that one endpoint accepts from all
 *     entry hosts
 * @param shortLimitMillis maximum run time of a request that is classified as short
 * @param objectivePercent share of requests that must succeed within the objective latency
 */
public record ServiceDefinition(
    String name,
    String pool,
    String workers,
    boolean isRepeatable,
    long deadlineMillis,
    int queueLimit,
    int slotsPerEndpoint,
    int connectionsPerEndpoint,
    long shortLimitMillis,
    double objectivePercent,
    long objectiveLatencyMillis,
    double weight) {
  static ServiceDefinition from(String name, Map<String, String> values) {
    return new ServiceDefinition(
        name,
        values.get("pool"),
        values.get("workers"),
        Boolean.parseBoolean(values.get("repeatable")),
        Long.parseLong(values.get("deadline_millis")),
        Integer.parseInt(values.get("queue_limit")),
        Integer.parseInt(values.get("slots_per_endpoint")),
        Integer.parseInt(values.get("connections_per_endpoint")),
        Long.parseLong(values.get("short_limit_millis")),
        Double.parseDouble(values.get("objective_percent")),
        Long.parseLong(values.get("objective_latency_millis")),
        Double.parseDouble(values.get("weight")));
  }
}
