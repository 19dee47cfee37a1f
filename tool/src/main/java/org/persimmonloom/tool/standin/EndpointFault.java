package org.persimmonloom.tool.standin;

/** What an {@link EndpointStandIn} does wrong with requests that arrive from now on. */
public enum EndpointFault {
  /** Answers correctly. */
  NONE,
  /** Answers every request with status 500 without running it. */
  FAIL_EVERYTHING,
  /** Runs the request, but answers only after {@link EndpointStandIn#LATE_MILLIS}. */
  LATE_ANSWER,
  /** Runs the request, declares the whole length, sends half of it and closes the connection. */
  SHORT_ANSWER,
  /** Runs the request and answers with the attempt and text of the request before it. */
  CROSSED_ANSWER
}
