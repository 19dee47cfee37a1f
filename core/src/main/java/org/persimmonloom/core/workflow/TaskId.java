package org.persimmonloom.core.workflow;

import java.util.Optional;

/**
 * Identifies a task of one occurrence of a workflow. Immutable.
 *
 * @param workflow identifier of the workflow
 * @param occurrence number of the occurrence, from 0
 * @param step index of the step
 * @param index index of the task within its step
 */
public record TaskId(String workflow, int occurrence, int step, int index) {
  private static final int PARTS = 4;

  /** Parses the format of {@link #toString}; returns empty if the text has another format. */
  public static Optional<TaskId> parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new TaskId(
              parts[0],
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Integer.parseInt(parts[3])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return workflow + '.' + occurrence + '.' + step + '.' + index;
  }
}
