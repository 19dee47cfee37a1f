package org.persimmonloom.runtime.workflow;

import java.util.function.LongSupplier;

/**
 * Ages of what an owner decides by: its term and its replica of the workflows, which it learns of
 * by separate calls. Safe for any thread.
 */
final class OwnerAges {
  private static final long UNKNOWN_AGE = -1;

  private final LongSupplier renewalMillis;
  private final LongSupplier workflowsMillis;
  private final WorkflowMetrics metrics;

  /**
   * Creates the ages of one term.
   *
   * @param renewalMillis time since the term's last renewal was sent, in ms
   * @param workflowsMillis age of what the owner's loop has applied of the workflows, in ms
   */
  OwnerAges(LongSupplier renewalMillis, LongSupplier workflowsMillis, WorkflowMetrics metrics) {
    this.renewalMillis = renewalMillis;
    this.workflowsMillis = workflowsMillis;
    this.metrics = metrics;
  }

  /** Returns the age of the last renewal in ms; -1 if the term is over or may be. */
  long renewalMillis() {
    long ageMillis = renewalMillis.getAsLong();
    return ageMillis == Long.MAX_VALUE ? UNKNOWN_AGE : ageMillis;
  }

  /** Shows the present ages in the metrics. */
  void record() {
    metrics.workflowsAgeSeconds.set(WorkflowMetrics.seconds(workflowsMillis.getAsLong()));
    metrics.renewalAgeSeconds.set(WorkflowMetrics.seconds(renewalMillis()));
  }

  /** Returns the present ages for a log line. */
  @Override
  public String toString() {
    return "workflows_age_ms=%d renewal_age_ms=%d"
        .formatted(workflowsMillis.getAsLong(), renewalMillis());
  }
}
