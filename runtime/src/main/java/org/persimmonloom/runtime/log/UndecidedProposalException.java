package org.persimmonloom.runtime.log;

/**
 * Says that this process can't learn any more whether proposals were folded: their verdicts are in
 * records that it skipped, or it stops.
 */
public final class UndecidedProposalException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with its reason. */
  public UndecidedProposalException(String reason) {
    super(reason);
  }
}
