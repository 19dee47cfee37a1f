package org.persimmonloom.core.release;

/** Provides the number of hosts in a pool; a pool that has hosts cannot be withdrawn. */
@FunctionalInterface
public interface PoolOccupancy {
  /** Returns the number of hosts in the pool, in any state. */
  int hostCount(String pool);
}
