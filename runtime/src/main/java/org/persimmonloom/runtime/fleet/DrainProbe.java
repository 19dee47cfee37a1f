package org.persimmonloom.runtime.fleet;

/**
 * Tells whether one part of this entry host still uses a host. Each part that sends work to hosts
 * binds one into the set; a host is idle when all agree. Safe for any thread; does not block.
 */
@FunctionalInterface
public interface DrainProbe {
  /**
   * Returns whether nothing is in progress at the host and nothing will be sent there while the
   * fold shows it as not available.
   *
   * <p>An implementation counts a request from the moment at which it selects the host under the
   * read lock of the fold. Otherwise a request that was selected before the drain and sent after
   * this answer would reach a host that is about to go down.
   */
  boolean isIdle(String host);
}
