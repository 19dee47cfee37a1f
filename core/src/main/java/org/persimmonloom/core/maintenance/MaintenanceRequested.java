package org.persimmonloom.core.maintenance;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * An operator's request for a maintenance wave.
 *
 * @param wave unique name
 * @param pools pools whose hosts at the time of acceptance are maintained
 * @param hosts further hosts
 * @param windowStartMillis fold time before which no host is drained
 * @param windowEndMillis fold time by which every host has to be back
 * @param maxAtOnce how many hosts of the wave may be out at once
 * @param expectedDownMillis how long one host is expected to be away
 */
public record MaintenanceRequested(
    String wave,
    List<String> pools,
    List<String> hosts,
    long windowStartMillis,
    long windowEndMillis,
    int maxAtOnce,
    long expectedDownMillis,
    String operator)
    implements Proposal, Explainable {
  public MaintenanceRequested {
    Objects.requireNonNull(wave, "wave");
    Objects.requireNonNull(operator, "operator");
    pools = List.copyOf(pools);
    hosts = List.copyOf(hosts);
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.wave(wave));
  }
}
