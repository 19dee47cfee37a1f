package org.persimmonloom.core.explain;

import org.persimmonloom.core.result.ResultCode;

/** Descriptions of the conditions that would change a result. Stateless. */
public final class Remedies {
  private Remedies() {}

  /** Returns the condition that would change a result with this code; empty for {@code OK}. */
  public static String of(ResultCode code) {
    return switch (code) {
      case OK -> "";
      case BUDGET_EXHAUSTED -> "one of the named hosts becomes available, or the budget is raised";
      case HOST_STATE_CONFLICT -> "the host reaches the state that the step starts from";
      case HOST_UNKNOWN -> "the host list shows the host and its home pool exists";
      case POOL_UNKNOWN -> "a release note adds the pool";
      case PLAN_STALE -> "the plan is computed again from the present state";
      case MOVE_REFUSED -> "the named condition no longer holds";
      case WAVE_CONFLICT -> "the named wave ends or is cancelled";
      case WAVE_STATE_CONFLICT -> "the wave is open, in its window and not paused";
      case WINDOW_TOO_SHORT -> "a longer window, more hosts at once, or a larger budget";
      case NO_CAPACITY -> "a fitting host becomes free or joins the pool";
      case QUOTA_EXCEEDED -> "jobs of the team end, or its quota is raised";
      default -> "the state named in the figures changes";
    };
  }
}
