package org.persimmonloom.tool.measure;

/** One piece of work, which holds one slot while it runs. Times are in milliseconds. */
final class Work {
  final SimPool home;
  final boolean isShort;
  final double arrival;
  final double runTime;

  /** Share of the slots of the home pool that long work held when this work was queued. */
  double longShare;

  /** Set when the host that runs the work is lost; the end of that run is then ignored. */
  int attempt;

  Work(SimPool home, boolean isShort, double arrival, double runTime) {
    this.home = home;
    this.isShort = isShort;
    this.arrival = arrival;
    this.runTime = runTime;
  }
}
