package org.persimmonloom.runtime.workflow;

import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerReport;

/**
 * Calls to workers. Calls block up to a bounded time and report failures in their result. Safe for
 * any thread.
 */
public interface WorkerGateway {
  /**
   * Answer to a request for lists.
   *
   * @param result whether the worker answered
   * @param report the lists; null unless accepted
   */
  record HoldAnswer(CallResult result, WorkerReport report) {}

  /** Sends an order under the owner's fence. */
  CallResult send(Order order, long fence);

  /** Renews a worker's lease and returns its lists. */
  HoldAnswer hold(HoldOrder order, long fence);
}
