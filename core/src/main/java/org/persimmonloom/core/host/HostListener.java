package org.persimmonloom.core.host;

import org.persimmonloom.core.fold.Position;

/** Receives each change to a host that the fold makes. */
@FunctionalInterface
public interface HostListener {
  /**
   * Called after the change was made.
   *
   * @param before null for a host that was admitted
   * @param after null for a host that was removed
   */
  void hostChanged(Host before, Host after, Position position);
}
