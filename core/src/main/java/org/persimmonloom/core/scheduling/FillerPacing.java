package org.persimmonloom.core.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.workflow.StepSpec;

/**
 * Slows fillers down while they disturb a task that serves.
 *
 * <p>When the tail latency of a serving task is over its target, all fillers of its worker are
 * halved, and stopped from working below {@link #LOWEST_PERCENT}. They speed up again in steps once
 * every tail has stayed below {@link #RELAXED_SHARE} of its target for some time. The distance
 * between the two limits keeps the pace from changing with every report. Not thread-safe.
 */
final class FillerPacing {
  private static final int FULL_PERCENT = 100;
  private static final int LOWEST_PERCENT = 20;
  private static final int STEP_PERCENT = 20;
  private static final double RELAXED_SHARE = 0.7;

  /** A report covers half a second, so that an effect shows in the report after the next. */
  private static final long SLOW_DOWN_MILLIS = 800;

  private static final long SPEED_UP_MILLIS = 2_000;

  private final OccurrenceTable occurrenceTable;
  private final Map<String, Long> changedMillis = new HashMap<>();

  FillerPacing(OccurrenceTable occurrenceTable) {
    this.occurrenceTable = occurrenceTable;
  }

  /** Adds the orders that change the pace of the worker's fillers now. */
  void decide(WorkerState worker, List<Order> orders, long nowMillis) {
    if (worker.fillerCount == 0) {
      return;
    }
    double worst = 0;
    for (TaskRun run : worker.runs.values()) {
      StepSpec step = occurrenceTable.step(run.task);
      if (step != null && step.hasLatencyTarget() && run.phase == TaskRun.Phase.RUNNING) {
        worst = Math.max(worst, run.load / (double) step.targetMillis());
      }
    }
    long sinceChange =
        nowMillis - changedMillis.getOrDefault(worker.facts.id(), nowMillis - SPEED_UP_MILLIS);
    boolean mustSlowDown = worst > 1 && sinceChange >= SLOW_DOWN_MILLIS;
    boolean maySpeedUp = worst < RELAXED_SHARE && sinceChange >= SPEED_UP_MILLIS;
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
