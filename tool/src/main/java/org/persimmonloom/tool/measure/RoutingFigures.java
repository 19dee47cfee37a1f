package org.persimmonloom.tool.measure;

import org.HdrHistogram.Histogram;

/** Counts and waits of one run. Not thread-safe. */
final class RoutingFigures {
  private final Histogram shortWaitMicros = new Histogram(3);
  private final Histogram longWaitMicros = new Histogram(3);
  private double shortWaitSum;
  private double behindLongSum;
  private long sent;
  private long answered;
  private long refusedShort;
  private long refusedLong;
  private long endpointArrivals;
  private long overcommitted;
  private int overcommitMax;
  private long lost;
  private long cutOff;

  void sent() {
    sent++;
  }

  void answered() {
    answered++;
  }

  void refused(SimulatedRequest request) {
    if (request.isLong) {
      refusedLong++;
    } else {
      refusedShort++;
    }
  }

  /** Notes an arrival at an endpoint that holds {@code excess} requests beyond its slots. */
  void arrivedAtEndpoint(int excess) {
    endpointArrivals++;
    overcommitted += excess > 0 ? 1 : 0;
    overcommitMax = Math.max(overcommitMax, excess);
  }

  void started(SimulatedRequest request, long nowMicros) {
    long waitMicros = nowMicros - request.sentMicros;
    if (request.isLong) {
      longWaitMicros.recordValue(waitMicros);
      return;
    }
    shortWaitMicros.recordValue(waitMicros);
    shortWaitSum += waitMicros;
    behindLongSum += request.behindLongMicros;
  }

  /** Notes a request that was not answered because an entry host vanished. */
  void vanished(boolean hasStarted) {
    if (hasStarted) {
      cutOff++;
    } else {
      lost++;
    }
  }

  RoutingResult result() {
    return new RoutingResult(
        sent,
        answered,
        refusedShort + refusedLong,
        shortWaitMicros.getValueAtPercentile(50) / 1_000.0,
        shortWaitMicros.getValueAtPercentile(99) / 1_000.0,
        100 * behindLongSum / Math.max(1, shortWaitSum),
        longWaitMicros.getValueAtPercentile(99) / 1_000.0,
        refusedLong,
        100.0 * overcommitted / Math.max(1, endpointArrivals),
        overcommitMax,
        lost,
        cutOff);
  }
}
