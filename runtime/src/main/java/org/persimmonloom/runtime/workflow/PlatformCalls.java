package org.persimmonloom.runtime.workflow;

import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Makes calls whose result must reach the caller even if the call throws. Stateless. */
final class PlatformCalls {
  private static final Logger LOG = LogManager.getLogger(PlatformCalls.class);

  private PlatformCalls() {}

  /** Returns the result of a call, or {@code failed} after an exception. */
  static <T> T resultOr(T failed, String name, Supplier<T> call) {
    try {
      return call.get();
    } catch (RuntimeException e) {
      LOG.warn("event=call_failed call={} cause={}", name, e.toString());
      return failed;
    }
  }
}
