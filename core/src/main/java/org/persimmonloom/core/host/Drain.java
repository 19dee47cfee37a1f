package org.persimmonloom.core.host;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Why a host is taken out of service, and who has confirmed that it is idle. Immutable.
 *
 * @param owner the wave, or the target pool of a move; empty for a host that the platform takes
 * @param offset offset of the record that granted it; identifies the drain in all later steps
 * @param expectedDownMillis how long the host is expected to be away; 0 if it is not rebooted
 * @param confirmedBy entry host to the incarnation that confirmed
 */
public record Drain(
    Cause cause,
    String owner,
    long offset,
    long expectedDownMillis,
    SortedMap<String, Long> confirmedBy) {
  /** Why the host is drained. */
  public enum Cause {
    WAVE,
    MOVE,
    /** The platform named the host as leaving; an unplanned loss as far as budgets go. */
    LEAVING
  }

  public Drain {
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(owner, "owner");
    confirmedBy = Collections.unmodifiableSortedMap(new TreeMap<>(confirmedBy));
  }

  /** Creates a drain that nobody has confirmed yet. */
  public static Drain unconfirmed(Cause cause, String owner, long offset, long expectedDownMillis) {
    return new Drain(cause, owner, offset, expectedDownMillis, Collections.emptySortedMap());
  }

  /** Returns this drain with one more confirmation. */
  public Drain withConfirmation(String entryHost, long incarnation) {
    TreeMap<String, Long> next = new TreeMap<>(confirmedBy);
    next.put(entryHost, incarnation);
    return new Drain(cause, owner, offset, expectedDownMillis, next);
  }

  /** Returns whether this incarnation has confirmed. */
  public boolean isConfirmedBy(String entryHost, long incarnation) {
    return Long.valueOf(incarnation).equals(confirmedBy.get(entryHost));
  }

  /** Returns whether an operator or the planner asked for this drain. */
  public boolean isPlanned() {
    return cause != Cause.LEAVING;
  }
}
