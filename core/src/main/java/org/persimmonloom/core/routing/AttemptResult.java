package org.persimmonloom.core.routing;

/** How an attempt at an endpoint ended, for outlier ejection and learned run times. */
public enum AttemptResult {
  /** A complete answer with a status below 500. */
  SUCCEEDED,
  /** A complete answer with a status of 500 or above. */
  FAILED,
  /** The connection could not be opened; no byte was read by the endpoint. */
  NOT_CONNECTED,
  /** No complete answer in time, or the connection broke. */
  BROKEN,
  /** The caller cancelled; says nothing about the endpoint. */
  CANCELLED
}
