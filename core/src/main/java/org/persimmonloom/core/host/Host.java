package org.persimmonloom.core.host;

/**
 * A host as the fold knows it.
 *
 * @param pool the one pool that the host belongs to
 * @param state whether it takes work
 * @param stateOffset offset of the record that put it into this state
 * @param stateMillis fold time of that record
 */
public record Host(
    HostFacts facts, String pool, HostState state, long stateOffset, long stateMillis) {
  /** Returns the host's name. */
  public String name() {
    return facts.name();
  }
}
