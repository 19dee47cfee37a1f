package org.persimmonloom.core.explain;

import java.util.List;

/**
 * A proposal whose verdict is kept in the {@link DecisionJournal}. Implemented by proposals whose
 * outcome an operator may ask about; not by frequent ones such as renewals.
 */
@FunctionalInterface
public interface Explainable {
  /** Returns the subjects under which the verdict is found. */
  List<Subject> subjects();
}
