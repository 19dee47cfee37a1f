package org.persimmonloom.runtime.workflow;

/**
 * How busy the owner's loop is: the time of its passes, how long events wait for the loop, and the
 * calls in progress.
 *
 * <p>An owner that falls behind is told by a long wait; the time of a pass and the number of calls
 * tell what it is busy with. Confined to the owner's loop.
 */
final class OwnerLoad {
  private final WorkflowMetrics metrics;
  private int passes;
  private long passNanos;
  private long longestPassNanos;
  private int events;
  private long longestWaitNanos;

  OwnerLoad(WorkflowMetrics metrics) {
    this.metrics = metrics;
  }

  /** Notes a pass that took the given time, in ns. */
  void recordPass(long nanos) {
    passes++;
    passNanos += nanos;
    longestPassNanos = Math.max(longestPassNanos, nanos);
    metrics.passSeconds.observe(WorkflowMetrics.secondsOfNanos(nanos));
  }

  /** Notes an event that has waited for the loop for the given time, in ns. */
  void recordWait(long nanos) {
    events++;
    longestWaitNanos = Math.max(longestWaitNanos, nanos);
    metrics.loopWaitSeconds.observe(WorkflowMetrics.secondsOfNanos(nanos));
  }

  /**
   * Returns the figures since the last call for logs, and starts anew.
   *
   * @param calls calls in progress
   */
  String takeSummary(int calls) {
    metrics.calls.set(calls);
    String line =
        String.format(
            "passes=%d pass_ms=%d pass_ms_max=%d events=%d wait_ms_max=%d calls=%d",
            passes,
            millis(passNanos),
            millis(longestPassNanos),
            events,
            millis(longestWaitNanos),
            calls);
    passes = 0;
    passNanos = 0;
    longestPassNanos = 0;
    events = 0;
    longestWaitNanos = 0;
    return line;
  }

  private static long millis(long nanos) {
    return Math.round(nanos / 1e6);
  }
}
