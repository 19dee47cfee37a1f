package org.persimmonloom.core.explain;

import java.util.List;

/**
 * A proposal whose result is recorded in the {@link DecisionJournal}. Implemented by proposals
 * whose result an operator may look up, but not by frequent proposals such as renewals.
 */
@FunctionalInterface
public interface Explainable {
  /** Returns the subjects for which the result is recorded. */
  List<Subject> subjects();
}
