package org.persimmonloom.core.explain;

import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.result.ResultCode;

/**
 * Records decisions that are not the result of an {@link Explainable} proposal, such as a state
 * that follows from several records. Called only by handlers of the fold.
 */
public interface DecisionRecorder {
  /** Records a decision and the values on which it is based. */
  void record(Subject subject, Position position, ResultCode code, String figures);

  /** Records a decision that an operator should look at. */
  void alert(Subject subject, Position position, String text);
}
