package org.persimmonloom.tool.oracle;

/** How one try of a caller at one entry host ended. */
public enum TryOutcome {
  /** The whole answer of the endpoint to this request, successful or not. */
  ANSWERED,
  /** The entry host said that the request did not run. */
  NOT_RUN,
  /** The entry host said that the request may have run, or that its answer is no longer kept. */
  UNKNOWN,
  /** A successful answer that belongs to another request or is incomplete. */
  CROSSED,
  /** The request was sent, but no answer with a run outcome came. */
  NO_ANSWER,
  /** The connection could not be opened, so no byte of the request was sent. */
  NOT_SENT
}
