package org.persimmonloom.tool.measure;

import org.persimmonloom.core.release.Weights;

/**
 * The weighted score of a run; lower is better. Each measure is divided by a fixed reference, so
 * that a score does not depend on the other policies, and weighted by its share in the weights. The
 * references were set before the first measurement: a p99 wait of 500 ms, a tenth of the fleet in
 * buffer for the whole run, a roll-out in 600 s, and moves as many as a pool has hosts.
 */
final class Score {
  static final double WAIT_MILLIS = 500;
  static final double BUFFER_HOURS = 8;
  static final double ROLLOUT_SECONDS = 600;
  static final double MOVES = 8;

  private Score() {}

  static double of(RunResult result, Weights weights) {
    double sum = weights.shortWait() + weights.buffer() + weights.rollout() + weights.moves();
    return (weights.shortWait() * result.waitP99Millis() / WAIT_MILLIS
            + weights.buffer() * result.bufferHours() / BUFFER_HOURS
            + weights.rollout() * result.rolloutSeconds() / ROLLOUT_SECONDS
            + weights.moves() * result.moves() / MOVES)
        / sum;
  }

  static String formula(Weights weights) {
    return String.format(
        "score = (%.0f x p99 wait/%.0f ms + %.0f x buffer/%.0f h + %.0f x roll-out/%.0f s"
            + " + %.0f x moves/%.0f) / %.0f",
        weights.shortWait(),
        WAIT_MILLIS,
        weights.buffer(),
        BUFFER_HOURS,
        weights.rollout(),
        ROLLOUT_SECONDS,
        weights.moves(),
        MOVES,
        weights.shortWait() + weights.buffer() + weights.rollout() + weights.moves());
  }
}
