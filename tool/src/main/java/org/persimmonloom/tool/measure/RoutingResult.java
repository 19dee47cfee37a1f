package org.persimmonloom.tool.measure;

/**
 * The figures of one run of one strategy.
 *
 * @param sent requests sent by callers
 * @param refused refused requests of both classes, including those that expired in a queue
 * @param shortP50Millis wait of short work from the caller's send to the start at the endpoint
 * @param behindLongPercent part of the wait of short work spent behind long work
 * @param refusedLong refused long requests
 * @param overcommitPercent arrivals at endpoints that found every slot taken
 * @param overcommitMax most requests beyond the slots of one endpoint
 * @param lost requests that waited at or were forwarded through an entry host that vanished
 * @param cutOff requests at an endpoint whose entry host vanished
 */
record RoutingResult(
    long sent,
    long answered,
    long refused,
    double shortP50Millis,
    double shortP99Millis,
    double behindLongPercent,
    double longP99Millis,
    long refusedLong,
    double overcommitPercent,
    int overcommitMax,
    long lost,
    long cutOff) {
  double refusedPercent() {
    return 100.0 * refused / Math.max(1, sent);
  }
}
