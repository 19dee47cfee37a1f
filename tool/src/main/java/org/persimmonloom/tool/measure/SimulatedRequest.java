package org.persimmonloom.tool.measure;

import org.persimmonloom.core.routing.WorkClass;

/** A request of the simulation and what has happened to it so far. Times are in microseconds. */
final class SimulatedRequest {
  final long id;
  final int service;
  final String route;
  final WorkClass hint;
  final long runMicros;
  final boolean isLong;
  final long sentMicros;
  SimulatedEntryHost entry;

  /** The host that holds the request in its queue or in a slot. */
  SimulatedEntryHost holder;

  /** Reading of {@link BusyShare} at the begin of the current wait. */
  double waitMark;

  /** Time waited so far behind long work. */
  double behindLongMicros;

  /** Whether the request was sent to an endpoint, so that it may have run. */
  boolean isAtEndpoint;

  boolean isEnded;

  SimulatedRequest(
      long id,
      int service,
      String route,
      WorkClass hint,
      long runMicros,
      boolean isLong,
      long sentMicros) {
    this.id = id;
    this.service = service;
    this.route = route;
    this.hint = hint;
    this.runMicros = runMicros;
    this.isLong = isLong;
    this.sentMicros = sentMicros;
  }

  long deadlineMillis() {
    return sentMicros / 1_000
        + (isLong ? RoutingModel.LONG_DEADLINE_MILLIS : RoutingModel.SHORT_DEADLINE_MILLIS);
  }
}
