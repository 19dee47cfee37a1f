package org.persimmonloom.core.scheduling;

import java.util.Collection;
import java.util.List;
import java.util.function.ToIntFunction;
import org.persimmonloom.core.workflow.Resources;

/** Computes the target number of hosts of a pool. Stateless. */
final class PoolTarget {
  /** Spare capacity as a fraction of the demand, since tasks do not fill workers exactly. */
  private static final double HEADROOM = 0.15;

  /** Constant number of workers that a pool keeps beyond its demand and headroom. */
  private static final double RESERVE_WORKERS = 0.6;

  private PoolTarget() {}

  /**
   * Returns the mean capacity of a pool's hosts, or of all hosts if the pool has none. Hosts differ
   * in kind, and a host that is down may be listed without a capacity.
   */
  static Resources meanCapacity(String pool, Collection<MachineFacts> machines) {
    List<Resources> known =
        machines.stream()
            .filter(facts -> facts.capacity().cpuMillis() > 0)
            .filter(facts -> facts.pool().equals(pool))
            .map(MachineFacts::capacity)
            .toList();
    if (known.isEmpty()) {
      known =
          machines.stream()
              .map(MachineFacts::capacity)
              .filter(capacity -> capacity.cpuMillis() > 0)
              .toList();
    }
    return new Resources(
        mean(known, Resources::cpuMillis),
        mean(known, Resources::memoryMegabytes),
        mean(known, Resources::accelerators));
  }

  private static int mean(List<Resources> known, ToIntFunction<Resources> amount) {
    return (int) known.stream().mapToInt(amount).average().orElse(0);
  }

  static int hosts(PoolDemand.Need need, Resources capacity) {
    double wanted = need.workers(capacity) * (1 + HEADROOM) + RESERVE_WORKERS;
    return Math.max(need.minWorkers + 1, (int) Math.ceil(wanted));
  }
}
