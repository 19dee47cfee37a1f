package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Position;

/** Listener that the fold calls when an incarnation of an entry host has ended. */
@FunctionalInterface
public interface EntryHostListener {
  /** Called once for each incarnation that has left, was lost or was replaced by a later one. */
  void incarnationEnded(String name, long incarnation, Position position);
}
