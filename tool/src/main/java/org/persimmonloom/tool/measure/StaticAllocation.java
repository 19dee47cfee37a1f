package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.capacity.CapacityPlan;
import org.persimmonloom.core.capacity.CapacityPolicy;
import org.persimmonloom.core.capacity.CapacityView;
import org.persimmonloom.core.capacity.PaceDecision;
import org.persimmonloom.core.capacity.PoolDecision;
import org.persimmonloom.core.capacity.PoolView;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * Baseline: every pool keeps the hosts it has.
 *
 * <p>Set-up: up to {@value #BUFFER_HOSTS} hosts of the spare pool beyond its own need are the
 * buffer, the best of 1, 2, 3, 4 and 8 for both deployments at seeds 101 and 102, which the
 * measurement does not use. A wave takes all of a pool's budget but one place, which is left for
 * unplanned losses, less the hosts lost; this is how an operator would set a fixed pace with a
 * budget of 3.
 */
final class StaticAllocation implements CapacityPolicy {
  static final int BUFFER_HOSTS = 4;

  private final int bufferHosts;

  StaticAllocation(int bufferHosts) {
    this.bufferHosts = bufferHosts;
  }

  @Override
  public CapacityPlan plan(CapacityView view, long nowMillis) {
    return withFixedPace(view, bufferHosts);
  }

  static CapacityPlan withFixedPace(CapacityView view, int bufferHosts) {
    Map<HostKind, Integer> buffers = new EnumMap<>(HostKind.class);
    Map<String, PaceDecision> paces = new TreeMap<>();
    List<PoolDecision> poolDecisions = new ArrayList<>();
    for (PoolView pool : view.pools()) {
      buffers.put(pool.kind(), bufferHosts);
      int pace = Math.max(0, pool.poolLimit() - 1 - pool.count(HostState.LOST));
      paces.put(pool.name(), new PaceDecision(pool.name(), pace, "fixed"));
      poolDecisions.add(new PoolDecision(pool.name(), pool.hosts().size(), 0, "fixed"));
    }
    return new CapacityPlan(view.offset(), List.of(), buffers, paces, poolDecisions);
  }
}
