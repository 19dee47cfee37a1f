package org.persimmonloom.core.scheduling;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.WorkflowSpec;

/**
 * Processor demand of each service that follows from the rate at which work is submitted.
 *
 * <p>Tasks that run or wait show a rise of the rate late: at first they are few, and once hosts are
 * missing they pile up. The rate of submitted work shows it at once, and its slope tells the demand
 * at the time when a host that is ordered now can run tasks. Few submissions, or a few large ones,
 * say little about a rate, so that it counts with a lower confidence bound. Not thread-safe.
 */
final class WorkArrivals {
  /** Length of each of the two windows whose rates are compared, in ms. */
  private static final long WINDOW_MILLIS = 1_000;

  private static final long SLOT_MILLIS = 100;
  private static final int SLOTS_PER_WINDOW = (int) (WINDOW_MILLIS / SLOT_MILLIS);

  /** Time from the order of a host until it runs tasks, in ms. */
  private static final long LEAD_MILLIS = 1_700;

  /** Part of the slope that is extrapolated, since a rise ends at some time. */
  private static final double SLOPE_DAMPING = 0.5;

  /** Standard errors between the observed rate and its lower bound. */
  private static final double CONFIDENCE = 1;

  private final Map<String, Arrivals> byService = new HashMap<>();

  /** Submissions of one service in the last two windows, in a ring of slots. */
  private static final class Arrivals {
    private final long[] numbers = new long[2 * SLOTS_PER_WINDOW];

    /** Submitted work, in thousandths of a core times ms. */
    private final double[] work = new double[numbers.length];

    private final double[] squares = new double[numbers.length];

    Arrivals() {
      Arrays.fill(numbers, Long.MIN_VALUE);
    }

    void add(double submitted, long slot) {
      int position = (int) Math.floorMod(slot, (long) numbers.length);
      if (numbers[position] > slot) {
        // The backlog of a new owner may be older than what it has counted since.
        return;
      }
      if (numbers[position] != slot) {
        numbers[position] = slot;
        work[position] = 0;
        squares[position] = 0;
      }
      work[position] += submitted;
      squares[position] += submitted * submitted;
    }

    /** Returns the rate of work in a window, in thousandths of a core, or its lower bound. */
    double rate(long firstSlot, boolean isLowerBound) {
      double sum = 0;
      double sumOfSquares = 0;
      for (int position = 0; position < numbers.length; position++) {
        if (numbers[position] >= firstSlot && numbers[position] < firstSlot + SLOTS_PER_WINDOW) {
          sum += work[position];
          sumOfSquares += squares[position];
        }
      }
      // The standard error of a sum of random submissions is the root of the sum of their squares.
      double error = isLowerBound ? CONFIDENCE * Math.sqrt(sumOfSquares) : 0;
      return Math.max(0, sum - error) / WINDOW_MILLIS;
    }
  }

  /**
   * Records a workflow that was submitted at the given time; scheduled and long-running work is not
   * counted.
   */
  void submitted(String service, WorkflowSpec spec, long submittedMillis) {
    if (spec.repeatCount() > 0) {
      return;
    }
    double work = 0;
    for (StepSpec step : spec.steps()) {
      if (!step.longRunning()) {
        work += (double) step.tasks() * step.reserved().cpuMillis() * step.estimateMillis();
      }
    }
    if (work > 0) {
      byService
          .computeIfAbsent(service, key -> new Arrivals())
          .add(work, Math.floorDiv(submittedMillis, SLOT_MILLIS));
    }
  }

  /** Returns the demand at the time when a host that is ordered now can run tasks. */
  long expectedCpuMillis(String service, long nowMillis) {
    Arrivals arrivals = byService.get(service);
    if (arrivals == null) {
      return 0;
    }
    long next = Math.floorDiv(nowMillis, SLOT_MILLIS) + 1;
    double latest = arrivals.rate(next - SLOTS_PER_WINDOW, true);
    double earlier = arrivals.rate(next - 2 * SLOTS_PER_WINDOW, false);
    double rise = Math.max(0, latest - earlier) * LEAD_MILLIS / WINDOW_MILLIS;
    return Math.round(latest + SLOPE_DAMPING * rise);
  }
}
