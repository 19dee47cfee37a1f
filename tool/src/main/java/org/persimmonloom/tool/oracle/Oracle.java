package org.persimmonloom.tool.oracle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.persimmonloom.tool.standin.Execution;

/**
 * Judges a run from what the stand-ins and the demand driver saw, never from what the product
 * reports. Safe for any thread.
 */
public final class Oracle {
  private final RequestLedger requests = new RequestLedger();
  private final RolloutCheck rollout = new RolloutCheck();
  private final BudgetCheck budgets = new BudgetCheck();
  private final JobLedger jobs = new JobLedger();
  private final AtomicLong racesWithoutOneWinner = new AtomicLong();
  private final List<String> stepFailures = new ArrayList<>();
  private final HostUsage usage;

  /** Creates an oracle for endpoints with these home services. */
  public Oracle(String spareService, Map<String, String> homeServices) {
    usage = new HostUsage(spareService, homeServices);
  }

  /** Records that an endpoint began to run a request. */
  public void executed(Execution execution) {
    requests.executed(execution);
    usage.executed(execution);
  }

  /** Returns the ledger of requests. */
  public RequestLedger requests() {
    return requests;
  }

  /** Returns the check of release notes. */
  public RolloutCheck rollout() {
    return rollout;
  }

  /** Returns the check of availability budgets. */
  public BudgetCheck budgets() {
    return budgets;
  }

  /** Returns the ledger of jobs. */
  public JobLedger jobs() {
    return jobs;
  }

  /** Returns the usage of endpoints. */
  public HostUsage usage() {
    return usage;
  }

  /** Records how many of the operators who raced had their note accepted. */
  public void race(int winners) {
    if (winners != 1) {
      racesWithoutOneWinner.incrementAndGet();
    }
  }

  /** Records that a step of the run could not be carried out. */
  public synchronized void stepFailed(String step, String reason) {
    stepFailures.add("step " + step + " failed: " + reason);
  }

  /** Judges the run so far. */
  public synchronized OracleVerdict verdict() {
    RequestLedger.Counts counts = requests.counts();
    List<String> broken = new ArrayList<>(stepFailures);
    expectNone(broken, "requests lost", counts.lost());
    expectNone(broken, "requests doubled", counts.doubled());
    expectNone(broken, "answers crossed or incomplete", counts.crossed());
    expectNone(broken, "requests cut off by a planned stop", counts.cutOff());
    expectNone(broken, "requests sent late to a leaving endpoint", counts.lateToLeaving());
    expectNone(broken, "budget violations", budgets.violations());
    expectNone(broken, "entry hosts without an accepted note", rollout.missing());
    expectNone(broken, "answers by an older note", rollout.reversions());
    expectNone(broken, "operator races without one winner", racesWithoutOneWinner.get());
    expectNone(broken, "jobs lost", jobs.lost());
    expectNone(broken, "jobs doubled", jobs.doubled());
    if (rollout.maxMillis() > RolloutCheck.LIMIT_MILLIS) {
      broken.add("a release note took " + rollout.maxMillis() + " ms");
    }
    if (counts.answered() == 0) {
      broken.add("no request was answered");
    }
    return new OracleVerdict(
        counts,
        budgets.violations(),
        rollout.maxMillis(),
        usage.moves(),
        usage.bufferHosts(),
        jobs.lost(),
        jobs.doubled(),
        broken);
  }

  private static void expectNone(List<String> broken, String what, long count) {
    if (count > 0) {
      broken.add(count + " " + what);
    }
  }
}
