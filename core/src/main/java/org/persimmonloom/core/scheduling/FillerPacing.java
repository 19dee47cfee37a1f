package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Throttles filler tasks while they interfere with tasks that have a latency target.
 *
 * <p>When the tail latency of a task exceeds its target, the speed of all fillers on its worker is
 * halved, and set to 0 below {@link #LOWEST_PERCENT}. Fillers speed up in steps while every tail
 * latency on the worker is below {@link #RELAXED_SHARE} of its target. The gap between the two
 * limits provides hysteresis, so that the speed does not change with every report. Not thread-safe.
 */
final class FillerPacing {
  private static final int FULL_PERCENT = 100;
  private static final int LOWEST_PERCENT = 20;
  private static final int STEP_PERCENT = 20;
  private static final double RELAXED_SHARE = 0.7;

  /**
   * Minimum time between a change of speed and a slowdown, in ms. A report covers 500 ms, so a
   * change is fully visible only in the second report after it.
   */
  private static final long SLOW_DOWN_MILLIS = 800;

  /** Minimum time between a change of speed and a speed-up, in ms. */
  private static final long SPEED_UP_MILLIS = 2_000;

  private final OccurrenceTable occurrenceTable;

  /** Time of the last change of speed on each worker. */
  private final Map<String, Long> changedMillis = new HashMap<>();

  FillerPacing(OccurrenceTable occurrenceTable) {
    this.occurrenceTable = occurrenceTable;
  }

  /**
   * Adds the orders that change the speed of the worker's fillers now. The loads of an unreachable
   * worker are old, and it would get no order.
   */
  void decide(WorkerState worker, List<Order> orders, long nowMillis) {
    if (worker.fillerCount == 0 || !worker.isReachable) {
      return;
    }
    double worstRatio = 0;
    for (TaskRun run : worker.runs.values()) {
      StepSpec step = occurrenceTable.step(run.task);
      if (step != null && step.hasLatencyTarget() && run.phase == TaskRun.Phase.RUNNING) {
        worstRatio = Math.max(worstRatio, run.load / (double) step.targetMillis());
      }
    }
    long sinceChange =
        nowMillis - changedMillis.getOrDefault(worker.facts.id(), nowMillis - SPEED_UP_MILLIS);
    boolean mustSlowDown = worstRatio > 1 && sinceChange >= SLOW_DOWN_MILLIS;
    boolean maySpeedUp = worstRatio < RELAXED_SHARE && sinceChange >= SPEED_UP_MILLIS;
    if (mustSlowDown || maySpeedUp) {
      change(worker, mustSlowDown, orders, nowMillis);
    }
  }

  private void change(WorkerState worker, boolean isSlowDown, List<Order> orders, long nowMillis) {
    for (TaskRun run : worker.runs.values()) {
      StepSpec step = occurrenceTable.step(run.task);
      if (step == null || !step.filler() || run.phase != TaskRun.Phase.RUNNING) {
        continue;
      }
      int pacePercent =
          isSlowDown
              ? slower(run.pacePercent)
              : Math.min(FULL_PERCENT, run.pacePercent + STEP_PERCENT);
      if (pacePercent != run.pacePercent) {
        run.pacePercent = pacePercent;
        changedMillis.put(worker.facts.id(), nowMillis);
        orders.add(new Order.Pace(worker.facts, run.task, run.number, pacePercent));
      }
    }
  }

  private static int slower(int pacePercent) {
    int half = pacePercent / 2;
    return half < LOWEST_PERCENT ? 0 : half;
  }
}
