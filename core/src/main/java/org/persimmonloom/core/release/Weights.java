package org.persimmonloom.core.release;

import java.util.Map;

/** Relative weights of the four measures that capacity planning trades off in a deployment. */
public record Weights(double shortWait, double buffer, double rollout, double moves) {
  /** Equal weights for all measures. */
  public static final Weights EVEN = new Weights(1, 1, 1, 1);

  static Weights from(Map<String, String> values) {
    return new Weights(
        Double.parseDouble(values.get("short_wait")),
        Double.parseDouble(values.get("buffer")),
        Double.parseDouble(values.get("rollout")),
        Double.parseDouble(values.get("moves")));
  }
}
