package org.persimmonloom.core.capacity;

/** Decides on moves, the buffer and the pace of waves. Implementations are pure functions. */
public interface CapacityPolicy {
  /** Returns the plan for this view; equal arguments give equal plans. */
  CapacityPlan plan(CapacityView view, long nowMillis);
}
