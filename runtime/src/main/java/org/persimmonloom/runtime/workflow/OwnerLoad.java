package org.persimmonloom.runtime.workflow;

/**
 * Load of the owner's loop: the duration of its passes, the time that events wait for the loop, the
 * number of calls in progress, and the time that orders wait until they are sent.
 *
 * <p>A long wait shows that the owner is overloaded; the duration of passes and the number of calls
 * show the cause. Confined to the owner's loop.
 */
final class OwnerLoad {
  private final WorkflowMetrics metrics;
  private int passes;
  private long passNanos;
  private long longestPassNanos;
  private int events;
  private long longestWaitNanos;
  private int ordersSent;
  private long longestOrderWaitMillis;

  OwnerLoad(WorkflowMetrics metrics) {
    this.metrics = metrics;
  }

  /** Records the duration of a pass, in ns. */
  void recordPass(long nanos) {
    passes++;
    passNanos += nanos;
    longestPassNanos = Math.max(longestPassNanos, nanos);
    metrics.passSeconds.observe(WorkflowMetrics.secondsOfNanos(nanos));
  }

  /** Records how long an event waited for the loop, in ns. */
  void recordWait(long nanos) {
    events++;
    longestWaitNanos = Math.max(longestWaitNanos, nanos);
    metrics.loopWaitSeconds.observe(WorkflowMetrics.secondsOfNanos(nanos));
  }

  /** Records that an order was sent, after it has waited for other orders. */
  void recordOrderSent(long waitedMillis) {
    ordersSent++;
    longestOrderWaitMillis = Math.max(longestOrderWaitMillis, waitedMillis);
    metrics.orderWaitSeconds.observe(WorkflowMetrics.seconds(waitedMillis));
  }

  /**
   * Returns the figures since the last call as a log line, and resets them.
   *
   * @param calls calls in progress
   * @param queuedOrders orders that are not sent yet
   */
  String takeSummary(int calls, int queuedOrders) {
    metrics.calls.set(calls);
    String line =
        String.format(
            "passes=%d pass_ms=%d pass_ms_max=%d events=%d wait_ms_max=%d calls=%d"
                + " orders_sent=%d order_wait_ms_max=%d orders_queued=%d",
            passes,
            millis(passNanos),
            millis(longestPassNanos),
            events,
            millis(longestWaitNanos),
            calls,
            ordersSent,
            longestOrderWaitMillis,
            queuedOrders);
    passes = 0;
    passNanos = 0;
    longestPassNanos = 0;
    events = 0;
    longestWaitNanos = 0;
    ordersSent = 0;
    longestOrderWaitMillis = 0;
    return line;
  }

  private static long millis(long nanos) {
    return Math.round(nanos / 1e6);
  }
}
