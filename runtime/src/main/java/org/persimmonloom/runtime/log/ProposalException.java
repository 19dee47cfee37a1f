package org.persimmonloom.runtime.log;

import org.persimmonloom.core.result.Failure;

/** Says that proposals were certainly not folded and never will be. */
public final class ProposalException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  /** Creates the exception for a numbered failure. */
  public ProposalException(Failure failure) {
    super(failure.toString());
    this.failure = failure;
  }

  /** Returns the numbered failure. */
  public Failure failure() {
    return failure;
  }
}
