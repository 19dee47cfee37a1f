package org.persimmonloom.runtime.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * When an address may be dialled again: after a delay that doubles with each failure, with jitter,
 * so that the peers of a restarted host do not all connect in the same instant. Confined to one
 * thread; times in milliseconds of a steady clock.
 */
final class DialSchedule {
  private static final long FIRST_DELAY_MILLIS = 200;
  private static final long MAX_DELAY_MILLIS = 5_000;
  private static final int MAX_DOUBLINGS = 5;
  private static final long OWN_ADDRESS_DELAY_MILLIS = 60_000;

  private final Map<String, Entry> entries = new HashMap<>();
  private final RandomGenerator random;

  private record Entry(long nextMillis, int failures) {}

  DialSchedule(RandomGenerator random) {
    this.random = random;
  }

  /** Returns whether the address may be dialled now. */
  boolean isDue(String address, long nowMillis) {
    Entry entry = entries.get(address);
    return entry == null || nowMillis >= entry.nextMillis();
  }

  /** Keeps a new address from being dialled for {@code delayMillis}; no effect on a known one. */
  void postpone(String address, long delayMillis, long nowMillis) {
    entries.putIfAbsent(address, new Entry(nowMillis + delayMillis, 0));
  }

  /** Makes the address due at once, but for the delay after failures. */
  void hasten(String address) {
    entries.computeIfPresent(address, (key, entry) -> entry.failures() == 0 ? null : entry);
  }

  void failed(String address, long nowMillis) {
    int failures = entries.containsKey(address) ? entries.get(address).failures() : 0;
    long limit =
        Math.min(MAX_DELAY_MILLIS, FIRST_DELAY_MILLIS << Math.min(failures, MAX_DOUBLINGS));
    entries.put(address, new Entry(nowMillis + jittered(limit), failures + 1));
  }

  /** Notes that a peer introduced itself at the address; resets the delay. */
  void succeeded(String address, long nowMillis) {
    entries.put(address, new Entry(nowMillis + jittered(FIRST_DELAY_MILLIS), 0));
  }

  /** Notes that the address leads to this process. */
  void isOwn(String address, long nowMillis) {
    entries.put(address, new Entry(nowMillis + OWN_ADDRESS_DELAY_MILLIS, 0));
  }

  private long jittered(long limit) {
    return limit / 2 + random.nextLong(limit / 2 + 1);
  }
}
