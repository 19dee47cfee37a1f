package org.persimmonloom.tool.measure;

import java.util.PriorityQueue;

/** Events by time; events of the same time run in the order they were added. */
final class EventQueue {
  private record Event(double millis, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Double.compare(millis, other.millis);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long sequence;
  private double now;

  double now() {
    return now;
  }

  long nowMillis() {
    return (long) now;
  }

  void at(double millis, Runnable action) {
    events.add(new Event(millis, sequence++, action));
  }

  void every(double firstMillis, long periodMillis, Runnable action) {
    at(
        firstMillis,
        () -> {
          action.run();
          every(now + periodMillis, periodMillis, action);
        });
  }

  void runUntil(double endMillis) {
    while (!events.isEmpty() && events.peek().millis() < endMillis) {
      Event event = events.poll();
      now = event.millis();
      event.action().run();
    }
    now = endMillis;
  }
}
