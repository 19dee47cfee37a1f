package org.persimmonloom.core.job;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.explain.Explainable;
import org.persimmonloom.core.explain.Subject;
import org.persimmonloom.core.fold.Proposal;

/**
 * Excludes a worker from placement because jobs fail there and succeed elsewhere.
 *
 * @param plannedOffset first log offset that the decision did not take into account
 * @param figures numbers on which the decision is based, as text
 */
public record WorkerQuarantined(String worker, long plannedOffset, String figures)
    implements Proposal, Explainable {
  public WorkerQuarantined {
    Objects.requireNonNull(worker, "worker");
    Objects.requireNonNull(figures, "figures");
  }

  @Override
  public List<Subject> subjects() {
    return List.of(Subject.host(worker));
  }
}
