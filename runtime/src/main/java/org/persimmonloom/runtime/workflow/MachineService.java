package org.persimmonloom.runtime.workflow;

import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.MachineOrder;

/**
 * The platform's service for worker hosts. Calls block up to a bounded time. Safe for any thread.
 */
public interface MachineService {
  /** Returns all worker hosts; empty if the request failed. */
  Optional<List<MachineFacts>> list();

  /** Sends an order with the owner's name and fence. */
  MachineOrder.Result send(MachineOrder order, String owner, long fence);
}
