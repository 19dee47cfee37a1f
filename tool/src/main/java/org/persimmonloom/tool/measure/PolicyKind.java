package org.persimmonloom.tool.measure;

import org.persimmonloom.core.capacity.TrendPolicy;

/** The policies that are compared. */
enum PolicyKind {
  STATIC((deployment, reports) -> new StaticAllocation(StaticAllocation.BUFFER_HOSTS)),
  THRESHOLD(ThresholdRule::of),
  TREND((deployment, reports) -> new TrendPolicy(Simulation.SETTINGS));

  private final PolicyFactory factory;

  PolicyKind(PolicyFactory factory) {
    this.factory = factory;
  }

  PolicyFactory factory() {
    return factory;
  }
}
