package org.persimmonloom.runtime.workflow;

import java.util.List;

/**
 * Hosts that owners have ordered lately.
 *
 * @param fence fence of the owner that wrote the record
 * @param hosts identifiers of the worker hosts
 */
public record HostOrdersRecord(long fence, List<String> hosts) {
  /** Copies the identifiers, none of which may be null. */
  public HostOrdersRecord {
    hosts = List.copyOf(hosts);
  }
}
