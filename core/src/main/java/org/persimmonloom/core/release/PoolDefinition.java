package org.persimmonloom.core.release;

import java.util.Map;

/**
 * A pool of hosts.
 *
 * @param holdsWorkers true for a pool of workers, false for a pool of executors
 * @param service service that uses the hosts of the pool; empty if none
 * @param isSpare whether capacity moves take hosts from this pool first
 */
public record PoolDefinition(String name, boolean holdsWorkers, String service, boolean isSpare) {
  static PoolDefinition from(String name, Map<String, String> values) {
    return new PoolDefinition(
        name,
        values.get("kind").equals("workers"),
        values.get("service"),
        Boolean.parseBoolean(values.get("spare")));
  }
}
