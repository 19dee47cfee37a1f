package org.persimmonloom.tool.standin;

/**
 * What a task does when a stand-in of a worker runs it.
 *
 * @param runMillis run time without throttling
 * @param usedCores processors used
 * @param peakMemoryMb memory reached at half of the run time; a smaller reservation ends the task
 * @param failure why it fails at its end; empty if it succeeds
 */
public record TaskBehaviour(long runMillis, long usedCores, long peakMemoryMb, String failure) {
  /** Returns a task that succeeds within one core and 100 MiB. */
  public static TaskBehaviour succeeding(long runMillis) {
    return new TaskBehaviour(runMillis, 1, 100, "");
  }
}
