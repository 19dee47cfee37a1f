package org.persimmonloom.core.release;

/** The operation that a section of a release note applies to its definition. */
public enum ChangeAction {
  ADD,
  CHANGE,
  WITHDRAW
}
