package org.persimmonloom.core.host;

import java.util.Objects;

/**
 * What the platform's host list says of a host.
 *
 * @param name unique and stable over reboots
 * @param address {@code ip:port} of the endpoint or of the worker's task interface
 * @param rack rack, unique within its data centre
 * @param cores processors
 * @param memoryMb memory in MiB
 * @param accelerators number of accelerators
 * @param homePool pool that the host joins when it is first admitted
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
