package org.persimmonloom.core.scheduling;

/**
 * Identifies a step of one occurrence of a workflow.
 *
 * @param workflow identifier of the workflow
 * @param occurrence number of the occurrence, from 0
 * @param step index of the step
 */
public record StepId(String workflow, int occurrence, int step) {
  @Override
  public String toString() {
    return workflow + '.' + occurrence + '.' + step;
  }
}
