package org.persimmonloom.core.host;

/** The kind of work that a host runs. */
public enum HostKind {
  /** Serves requests as an endpoint of a service. */
  EXECUTOR,
  /** Runs jobs. */
  WORKER
}
