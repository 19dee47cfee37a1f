package org.persimmonloom.runtime.workflow;

import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerReport;

/**
 * Client for workers. Calls do not block; they end within a bounded time and report failures in
 * their result, on any thread. Safe for any thread.
 */
public interface WorkerGateway {
  /**
   * Result of a hold request.
   *
   * @param result result of the call
   * @param report status report of the worker; null unless accepted
   */
  record HoldAnswer(CallResult result, WorkerReport report) {}

  /** Sends an order with the owner's fence. */
  CompletableFuture<CallResult> send(Order order, long fence);

  /** Polls a worker for its status report and extends the lease of its runs. */
  CompletableFuture<HoldAnswer> hold(HoldOrder order, long fence);
}
