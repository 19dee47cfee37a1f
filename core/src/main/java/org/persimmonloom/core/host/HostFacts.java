package org.persimmonloom.core.host;

import java.util.Objects;

/**
 * The attributes of a host in the platform's host list. Immutable.
 *
 * @param name unique and stable across reboots
 * @param address {@code ip:port} of the endpoint or of the worker's task interface
 * @param rack name of the rack, unique within its data centre
 * @param cores number of processor cores
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 * @param homePool pool to which the host is added when it is first admitted
 */
public record HostFacts(
    String name,
    HostKind kind,
    String address,
    String rack,
    String dataCentre,
    String region,
    int cores,
    long memoryMb,
    int accelerators,
    String homePool) {
  public HostFacts {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(rack, "rack");
    Objects.requireNonNull(dataCentre, "dataCentre");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(homePool, "homePool");
  }
}
