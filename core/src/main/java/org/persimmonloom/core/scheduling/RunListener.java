package org.persimmonloom.core.scheduling;

import java.util.Optional;

/** Receives what the scheduler decides and concludes about runs, for logs. Called by its thread. */
public interface RunListener {
  /** Ignores all calls. */
  RunListener NONE = new RunListener() {};

  /**
   * A start was decided.
   *
   * @param submittedOffset log offset of the workflow's submission
   * @param previous the last run of the task that this owner has released; empty if it knows none
   */
  default void runOrdered(
      Order.Start start, long submittedOffset, Optional<ReleasedRun> previous) {}

  /** A run no longer occupies its task. */
  default void runReleased(ReleasedRun released) {}
}
