package org.persimmonloom.core.host;

import org.persimmonloom.core.fold.Position;

/**
 * The replicated state of a host. Immutable.
 *
 * @param pool the one pool that the host belongs to
 * @param state availability of the host for work
 * @param stateOffset offset of the record that put it into this state
 * @param stateMillis fold time of that record
 * @param drain the drain that took the host out of service; null for an available host and after an
 *     unplanned loss
 * @param isUnlisted whether the host disappeared from the host list in a mass event. Such a host
 *     keeps its work, because the list may be wrong, but counts against budgets, because the host
 *     may be gone
 */
public record Host(
    HostFacts facts,
    String pool,
    HostState state,
    long stateOffset,
    long stateMillis,
    Drain drain,
    boolean isUnlisted) {
  /** Creates a host without a drain. */
  public Host(HostFacts facts, String pool, HostState state, long stateOffset, long stateMillis) {
    this(facts, pool, state, stateOffset, stateMillis, null, false);
  }

  /** Returns the host's name. */
  public String name() {
    return facts.name();
  }

  /** Returns whether the host counts against availability budgets. */
  public boolean isUnavailable() {
    return state.isUnavailable() || isUnlisted;
  }

  /** Returns whether the host is unavailable without a request of an operator or the planner. */
  public boolean isUnplannedLoss() {
    return isUnavailable() && (drain == null || !drain.isPlanned());
  }

  /** Returns the state as it is shown to operators. */
  public String stateText() {
    return isUnlisted ? state + ", not in the host list" : state.toString();
  }

  /** Returns whether a move of the host was accepted and is not completed yet. */
  public boolean isMoving() {
    return drain != null && drain.cause() == Drain.Cause.MOVE;
  }

  /** Returns whether the host is being drained or maintained by this wave. */
  public boolean isInWave(String wave) {
    return drain != null && drain.cause() == Drain.Cause.WAVE && drain.owner().equals(wave);
  }

  /** Returns this host in another state. */
  public Host withState(HostState next, Drain nextDrain, Position position) {
    return new Host(
        facts, pool, next, position.offset(), position.timeMillis(), nextDrain, isUnlisted);
  }

  Host withFacts(HostFacts next) {
    return new Host(next, pool, state, stateOffset, stateMillis, drain, isUnlisted);
  }

  /** Returns this host available in another pool. */
  public Host movedTo(String target, Position position) {
    return new Host(
        facts,
        target,
        HostState.AVAILABLE,
        position.offset(),
        position.timeMillis(),
        null,
        isUnlisted);
  }

  /** Returns this host with another drain, in the same state. */
  public Host withDrain(Drain next) {
    return new Host(facts, pool, state, stateOffset, stateMillis, next, isUnlisted);
  }

  Host withUnlisted(boolean unlisted) {
    return new Host(facts, pool, state, stateOffset, stateMillis, drain, unlisted);
  }
}
