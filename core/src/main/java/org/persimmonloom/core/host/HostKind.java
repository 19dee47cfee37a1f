package org.persimmonloom.core.host;

/** What a host does for the services. */
public enum HostKind {
  /** Serves requests; the endpoint of a service. */
  EXECUTOR,
  /** Runs jobs. */
  WORKER
}
