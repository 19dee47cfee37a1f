package org.persimmonloom.tool.measure;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs actions in the order of their simulated time; equal times run in the order they were added,
 * so that a run depends on its seed only. Not thread-safe. Times are in microseconds.
 */
final class EventLoop {
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeMicros).thenComparingLong(Event::sequence));
  private long sequence;
  private long nowMicros;

  private record Event(long timeMicros, long sequence, Runnable action) {}

  long nowMicros() {
    return nowMicros;
  }

  long nowMillis() {
    return nowMicros / 1_000;
  }

  void after(long delayMicros, Runnable action) {
    events.add(new Event(nowMicros + delayMicros, sequence++, action));
  }

  /** Runs until no event is left. */
  void run() {
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowMicros = event.timeMicros();
      event.action().run();
    }
  }
}
