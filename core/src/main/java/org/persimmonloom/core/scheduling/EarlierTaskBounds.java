package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.Map;

/**
 * Times until which an owner must have owned the fleet, so that unreported workers which it takes
 * for ended have run no task for a newer owner. Not thread-safe.
 */
final class EarlierTaskBounds {
  private final Map<String, Long> byService = new HashMap<>();
  private long highestMillis = WorkerState.NEVER;

  /** Notes that a worker counts as ended by evidence which a newer owner may contradict. */
  void add(WorkerState worker, long requiredOwnershipMillis) {
    byService.merge(worker.facts.service(), requiredOwnershipMillis, Math::max);
    highestMillis = Math.max(highestMillis, requiredOwnershipMillis);
  }

  long ofService(String service) {
    return byService.getOrDefault(service, WorkerState.NEVER);
  }

  long ofAnyService() {
    return highestMillis;
  }
}
