package org.persimmonloom.tool.oracle;

import java.util.List;
import java.util.Locale;

/**
 * The figures of a run and the invariants that did not hold.
 *
 * @param broken one sentence for each invariant that did not hold; empty if all held
 */
public record OracleVerdict(
    RequestLedger.Counts requests,
    long budgetViolations,
    long rolloutMillisMax,
    long moves,
    double bufferHosts,
    long jobsLost,
    long jobsDoubled,
    List<String> broken) {
  public OracleVerdict {
    broken = List.copyOf(broken);
  }

  /** Returns whether every invariant held. */
  public boolean isOk() {
    return broken.isEmpty();
  }

  /** Returns the last line of the demo. */
  public String line() {
    return String.format(
        Locale.ROOT,
        "accepted=%d answered=%d not_run=%d unknown=%d lost=%d doubled=%d crossed=%d"
            + " budget_violations=%d rollout_ms_max=%d short_p99_ms=%d moves=%d buffer_hosts=%.1f"
            + " jobs_lost=%d jobs_doubled=%d verdict=%s",
        requests.accepted(),
        requests.answered(),
        requests.notRun(),
        requests.unknown(),
        requests.lost(),
        requests.doubled(),
        requests.crossed(),
        budgetViolations,
        rolloutMillisMax,
        requests.shortP99Millis(),
        moves,
        bufferHosts,
        jobsLost,
        jobsDoubled,
        isOk() ? "ok" : "failed");
  }
}
