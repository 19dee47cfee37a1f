package org.persimmonloom.tool.demo;

import java.time.Instant;
import java.time.InstantSource;

/**
 * The system clock, read through a {@link NetworkGate}: a thread of a frozen or lost entry host
 * that reads the time waits. Safe for any thread.
 */
final class GatedClock implements InstantSource {
  private final NetworkGate gate;

  GatedClock(NetworkGate gate) {
    this.gate = gate;
  }

  @Override
  public Instant instant() {
    gate.awaitOpen();
    return Instant.now();
  }
}
