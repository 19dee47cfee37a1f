package org.persimmonloom.core.explain;

import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.result.ResultCode;

/**
 * Takes decisions that are not the verdict on an {@link Explainable} proposal, such as a state that
 * follows from several records. Called by handlers of the fold only.
 */
public interface DecisionRecorder {
  /** Records a decision with the figures on which it was made. */
  void record(Subject subject, Position position, ResultCode code, String figures);

  /** Records a decision that an operator should look at. */
  void alert(Subject subject, Position position, String text);
}
