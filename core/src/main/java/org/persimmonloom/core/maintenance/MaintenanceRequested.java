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
 * @param pools pools to maintain; the wave covers the hosts that they have when it is accepted
 * @param hosts further hosts to maintain
 * @param windowStartMillis fold time before which no host may be drained, in milliseconds
 * @param windowEndMillis fold time by which every host must be back in service, in milliseconds
 * @param maxAtOnce maximum number of hosts of the wave that may be unavailable for it at once
 * @param expectedDownMillis expected time from the shutdown of a host to its return, in
 *     milliseconds
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
