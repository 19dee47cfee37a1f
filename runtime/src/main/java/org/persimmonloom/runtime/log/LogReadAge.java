package org.persimmonloom.runtime.log;

/** Tells how old this process's knowledge of the log is. Safe for any thread. */
@FunctionalInterface
public interface LogReadAge {
  /**
   * Returns the milliseconds since the request of the last read that reached the end of the log, on
   * a clock that never goes back; a very large value before the first.
   */
  long sinceCompleteReadMillis();
}
