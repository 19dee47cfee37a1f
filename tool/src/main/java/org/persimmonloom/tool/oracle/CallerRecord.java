package org.persimmonloom.tool.oracle;

import java.util.List;

/**
 * A finished request of a caller, with all its tries.
 *
 * @param key identifies the request at the endpoints
 * @param isRepeatable whether its service allows a second execution
 * @param isShort whether the caller declared it short
 * @param tries in the order in which they were sent; may overlap in time
 */
public record CallerRecord(
    String key, boolean isRepeatable, boolean isShort, List<CallerTry> tries) {
  public CallerRecord {
    tries = List.copyOf(tries);
  }

  boolean has(TryOutcome outcome) {
    return tries.stream().anyMatch(it -> it.outcome() == outcome);
  }

  /** Returns the time from the first try to the end of the answered one. */
  long answerMillis() {
    long end =
        tries.stream()
            .filter(it -> it.outcome() == TryOutcome.ANSWERED)
            .mapToLong(CallerTry::endMillis)
            .min()
            .orElseThrow();
    return end - tries.get(0).startMillis();
  }
}
