package org.persimmonloom.core.result;

/** Whether a request ran, as reported to its caller. */
public enum RunOutcome {
  /** The request did not run and will not run under this attempt. */
  NOT_RUN("not-run"),
  /** The request ran and the caller has its whole answer. */
  RAN("ran"),
  /** The request may have run; it is not repeated. */
  UNKNOWN("unknown");

  private final String headerValue;

  RunOutcome(String headerValue) {
    this.headerValue = headerValue;
  }

  /** Returns the value of the {@code Persimmonloom-Run} answer header. */
  public String headerValue() {
    return headerValue;
  }
}
