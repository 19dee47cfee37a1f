package org.persimmonloom.tool.measure;

import java.util.Random;
import java.util.function.LongToDoubleFunction;

/**
 * Creates the work of one pool and class. Arrivals are Poisson with the rate of the demand model;
 * run times are exponential, and one piece of long work in twenty runs five times longer. The
 * random numbers depend on the seed and the source only, never on the policy.
 */
final class WorkSource {
  /** The rate is read anew at least this often, so that a burst starts and ends on time. */
  private static final double RATE_STEP_MILLIS = 200;

  private static final double LONG_TAIL = 0.05;
  private static final double LONG_TAIL_FACTOR = 5;

  private final EventQueue events;
  private final Simulation simulation;
  private final SimPool pool;
  private final boolean isShort;
  private final double meanRunTime;
  private final LongToDoubleFunction slots;
  private final Random random;

  /**
   * Creates a source whose work needs {@code slots} slots on average at a time given in
   * milliseconds.
   */
  WorkSource(
      Simulation simulation,
      EventQueue events,
      SimPool pool,
      boolean isShort,
      double meanRunTime,
      LongToDoubleFunction slots,
      long seed) {
    this.simulation = simulation;
    this.events = events;
    this.pool = pool;
    this.isShort = isShort;
    this.meanRunTime = meanRunTime;
    this.slots = slots;
    this.random = new Random(seed);
  }

  void scheduleNext() {
    double rate = slots.applyAsDouble(events.nowMillis()) / meanRunTime;
    double gap = -Math.log(1 - random.nextDouble()) / rate;
    if (gap > RATE_STEP_MILLIS) {
      events.at(events.now() + RATE_STEP_MILLIS, this::scheduleNext);
    } else {
      events.at(events.now() + gap, this::arrive);
    }
  }

  private void arrive() {
    double runTime = -Math.log(1 - random.nextDouble()) * meanRunTime / tailCorrection();
    boolean isTail = !isShort && random.nextDouble() < LONG_TAIL;
    runTime *= isTail ? LONG_TAIL_FACTOR : 1;
    simulation.accept(new Work(pool, isShort, events.now(), runTime));
    scheduleNext();
  }

  private double tailCorrection() {
    return isShort ? 1 : 1 + LONG_TAIL * (LONG_TAIL_FACTOR - 1);
  }
}
