package org.persimmonloom.core.release;

import java.util.Map;

/** How much a deployment minds each of the four measures, relative to the others. */
public record Weights(double shortWait, double buffer, double rollout, double moves) {
  /** All measures alike. */
  public static final Weights EVEN = new Weights(1, 1, 1, 1);

  static Weights from(Map<String, String> values) {
    return new Weights(
        Double.parseDouble(values.get("short_wait")),
        Double.parseDouble(values.get("buffer")),
        Double.parseDouble(values.get("rollout")),
        Double.parseDouble(values.get("moves")));
  }
}
