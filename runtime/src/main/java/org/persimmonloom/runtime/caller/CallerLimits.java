package org.persimmonloom.runtime.caller;

/**
 * What one entry host takes from callers at once.
 *
 * @param requests concurrent requests
 * @param connections open connections that carried a request
 * @param bodyBytes bytes of bodies in memory; the heap of an entry host is 192 MiB
 * @param sendMillis time to send the head, and again the body, of a request
 */
record CallerLimits(int requests, int connections, long bodyBytes, int sendMillis) {
  static final CallerLimits DEFAULT = new CallerLimits(1_024, 2_048, 48L << 20, 5_000);
}
