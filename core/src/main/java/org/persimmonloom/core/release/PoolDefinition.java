package org.persimmonloom.core.release;

import java.util.Map;

/**
 * A pool of hosts.
 *
 * @param holdsWorkers true for a pool of workers, false for a pool of executors
 * @param service the service that draws on the pool; empty if none
 * @param isSpare whether capacity moves take hosts from here first
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
