package org.persimmonloom.core.release;

import java.util.Map;

/**
 * A team and the quota for the total resources of its running jobs.
 *
 * @param cores maximum number of processor cores
 * @param memoryMb maximum memory in MB
 * @param accelerators maximum number of accelerators
 */
public record TeamDefinition(String name, long cores, long memoryMb, long accelerators) {
  static TeamDefinition from(String name, Map<String, String> values) {
    return new TeamDefinition(
        name,
        Long.parseLong(values.get("quota_cores")),
        Long.parseLong(values.get("quota_memory_mb")),
        Long.parseLong(values.get("quota_accelerators")));
  }
}
