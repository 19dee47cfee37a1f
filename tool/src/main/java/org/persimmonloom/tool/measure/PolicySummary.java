package org.persimmonloom.tool.measure;

import java.util.List;
import java.util.function.ToDoubleFunction;

/** Figures of one policy over all seeds, with or without faults. */
record PolicySummary(
    PolicyKind policy,
    boolean hasFaults,
    Spread score,
    Spread bufferHours,
    Spread rolloutSeconds,
    Spread moves,
    Spread waitP50Millis,
    Spread waitP99Millis,
    Spread headOfLineShare,
    Spread longUnfinished,
    int violations,
    int refusals) {
  static PolicySummary of(
      PolicyKind policy, boolean hasFaults, List<RunResult> results, Deployment deployment) {
    return new PolicySummary(
        policy,
        hasFaults,
        spread(results, result -> Score.of(result, deployment.weights())),
        spread(results, RunResult::bufferHours),
        spread(results, RunResult::rolloutSeconds),
        spread(results, RunResult::moves),
        spread(results, RunResult::waitP50Millis),
        spread(results, RunResult::waitP99Millis),
        spread(results, RunResult::headOfLineShare),
        spread(results, RunResult::longUnfinished),
        results.stream().mapToInt(RunResult::violations).sum(),
        results.stream().mapToInt(RunResult::refusals).sum());
  }

  private static Spread spread(List<RunResult> results, ToDoubleFunction<RunResult> figure) {
    return Spread.of(results.stream().mapToDouble(figure).toArray());
  }
}
