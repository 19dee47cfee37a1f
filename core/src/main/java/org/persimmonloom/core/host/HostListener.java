package org.persimmonloom.core.host;

import org.persimmonloom.core.fold.Position;

/** Told by the fold of each change to a host. */
@FunctionalInterface
public interface HostListener {
  /**
   * Called after the change.
   *
   * @param before null for a host that was admitted
   * @param after null for a host that was removed
   */
  void hostChanged(Host before, Host after, Position position);
}
