package org.persimmonloom.core.routing;

/** Result of an attempt at an endpoint; the input of outlier ejection and of run time estimates. */
public enum AttemptResult {
  /** A complete response with a status below 500. */
  SUCCEEDED,
  /** A complete response with a status of 500 or above. */
  FAILED,
  /** The connection could not be opened, so the endpoint read no byte of the request. */
  NOT_CONNECTED,
  /** No complete response arrived in time, or the connection broke. */
  BROKEN,
  /** The caller cancelled the request. Not counted as a success or failure of the endpoint. */
  CANCELLED
}
