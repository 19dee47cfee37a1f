package org.persimmonloom.core.release;

/** What a section of a release note does with its definition. */
public enum ChangeAction {
  ADD,
  CHANGE,
  WITHDRAW
}
