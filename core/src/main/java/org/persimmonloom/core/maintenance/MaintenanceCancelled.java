package org.persimmonloom.core.maintenance;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * An operator's cancellation of a wave. Draining and drained hosts return to service with this
 * record; hosts that are down finish their reboot.
 */
public record MaintenanceCancelled(String wave, String operator, String reason)
    implements Proposal, Explainable {
  public MaintenanceCancelled {
    Objects.requireNonNull(wave, "wave");
    Objects.requireNonNull(operator, "operator");
    Objects.requireNonNull(reason, "reason");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.wave(wave));
  }
}
