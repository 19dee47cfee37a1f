package org.persimmonloom.runtime.peer;

import java.util.List;

/** Signs of leaving endpoints at this entry host, sent with each heartbeat. Must not block. */
public interface LeavingSource {
  /** Returns the endpoints that this host saw leaving. */
  List<String> leaving();

  /** Returns the draining hosts at which this host has no work and sends none. */
  List<String> drained();
}
