package org.persimmonloom.core.scheduling;

/** An order to the platform about a worker host. The platform ends all processes on the host. */
public sealed interface MachineOrder {
  /** Returns the identifier of the host. */
  String machine();

  /** Moves the host to another pool. */
  record Move(String machine, String pool) implements MachineOrder {}

  /** Takes the host down for maintenance as part of a wave. */
  record Maintain(String machine, int wave) implements MachineOrder {}

  /** Response of the platform to an order. */
  enum Result {
    DONE,
    /** Another owner has already given orders about this host. */
    FENCED,
    /** The host is not up, or is leaving. */
    BUSY,
    /** The order is not valid for the host. */
    REFUSED,
    /** The order had no effect; it may be repeated. */
    TRY_LATER,
    /** No response; the order may have taken effect. */
    UNKNOWN
  }
}
