package org.persimmonloom.runtime.peer;

import java.util.Map;
import org.persimmonloom.core.routing.ServiceLoad;

/** The load at this entry host, sent with each heartbeat. Must not block. */
@FunctionalInterface
public interface LoadSource {
  /** Returns the load of each service by its name. */
  Map<String, ServiceLoad> loads();
}
