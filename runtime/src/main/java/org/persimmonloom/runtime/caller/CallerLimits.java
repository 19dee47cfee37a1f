package org.persimmonloom.runtime.caller;

/**
 * Limits on what one entry host accepts from callers.
 *
 * @param requests concurrent requests
 * @param connections open connections that have carried at least one request
 * @param bodyBytes bytes of request and response bodies in memory; the heap of an entry host is 192
 *     MiB
 * @param sendMillis time limit for receiving the head of a request, and again for its body
 */
record CallerLimits(int requests, int connections, long bodyBytes, int sendMillis) {
  static final CallerLimits DEFAULT = new CallerLimits(1_024, 2_048, 48L << 20, 5_000);
}
