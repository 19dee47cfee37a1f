package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

/** Runs every policy with and without faults at equal seeds. */
final class PolicyMeasurement {
  private final Deployment deployment;
  private final long firstSeed;
  private final int seeds;

  PolicyMeasurement(Deployment deployment, long firstSeed, int seeds) {
    this.deployment = deployment;
    this.firstSeed = firstSeed;
    this.seeds = seeds;
  }

  List<PolicySummary> run() {
    List<PolicySummary> summaries = new ArrayList<>();
    for (boolean hasFaults : new boolean[] {false, true}) {
      for (PolicyKind policy : PolicyKind.values()) {
        List<RunResult> results =
            LongStream.range(firstSeed, firstSeed + seeds)
                .parallel()
                .mapToObj(
                    seed -> new Simulation(deployment, policy.factory(), hasFaults, seed).run())
                .toList();
        summaries.add(PolicySummary.of(policy, hasFaults, results, deployment));
      }
    }
    return summaries;
  }
}
