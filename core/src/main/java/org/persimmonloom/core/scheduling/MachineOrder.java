package org.persimmonloom.core.scheduling;

/** An order about a worker host; the platform ends all that runs there. */
public sealed interface MachineOrder {
  /** Returns the host. */
  String machine();

  /** Puts the host into another pool. */
  record Move(String machine, String pool) implements MachineOrder {}

  /** Takes the host down for the maintenance that a wave asks for. */
  record Maintain(String machine, int wave) implements MachineOrder {}

  /** Answer of the platform to an order. */
  enum Result {
    DONE,
    /** Another owner has given orders about this host. */
    FENCED,
    /** The host is not up, or is leaving. */
    BUSY,
    /** The order does not fit the host. */
    REFUSED,
    /** The platform did nothing now; the order may be repeated. */
    TRY_LATER,
    /** No answer; the order may be carried out. */
    UNKNOWN
  }
}
