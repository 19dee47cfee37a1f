package org.persimmonloom.core.host;

import java.util.Collections;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The reason why a host is taken out of service, and the entry hosts that have confirmed that they
 * have no work in progress there. Immutable.
 *
 * @param owner the wave, or the target pool of a move; empty if the platform takes the host away
 * @param offset offset of the record that started the drain; identifies the drain in all later
 *     records
 * @param expectedDownMillis expected downtime in milliseconds; 0 if the host is not rebooted
 * @param confirmedBy maps the name of an entry host to the incarnation that confirmed
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
    /** The platform listed the host as leaving; budgets count it as an unplanned loss. */
    LEAVING
  }

  public Drain {
    Objects.requireNonNull(cause, "cause");
    Objects.requireNonNull(owner, "owner");
    confirmedBy = Collections.unmodifiableSortedMap(new TreeMap<>(confirmedBy));
  }

  /** Creates a drain that no entry host has confirmed yet. */
  public static Drain unconfirmed(Cause cause, String owner, long offset, long expectedDownMillis) {
    return new Drain(cause, owner, offset, expectedDownMillis, Collections.emptySortedMap());
  }

  /** Returns this drain with one more confirmation. */
  public Drain withConfirmation(String entryHost, long incarnation) {
    TreeMap<String, Long> next = new TreeMap<>(confirmedBy);
    next.put(entryHost, incarnation);
    return new Drain(cause, owner, offset, expectedDownMillis, next);
  }

  /** Returns whether this incarnation of the entry host has confirmed the drain. */
  public boolean isConfirmedBy(String entryHost, long incarnation) {
    return Long.valueOf(incarnation).equals(confirmedBy.get(entryHost));
  }

  /** Returns whether an operator or the planner requested this drain. */
  public boolean isPlanned() {
    return cause != Cause.LEAVING;
  }
}
