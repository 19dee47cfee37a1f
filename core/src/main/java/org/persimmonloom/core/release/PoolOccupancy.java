package org.persimmonloom.core.release;

/** Tells how many hosts a pool has, so that a pool in use is not withdrawn. */
@FunctionalInterface
public interface PoolOccupancy {
  /** Returns the number of hosts in the pool, in any state. */
  int hostCount(String pool);
}
