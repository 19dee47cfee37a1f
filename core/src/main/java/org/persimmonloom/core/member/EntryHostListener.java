package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Position;

/** Told by the fold when an incarnation of an entry host is over. */
@FunctionalInterface
public interface EntryHostListener {
  /** Called once for each incarnation that left, was lost or was replaced by a later one. */
  void incarnationEnded(String name, long incarnation, Position position);
}
