package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Map;
import org.persimmonloom.core.host.HostKind;

/**
 * The decisions of one planning round.
 *
 * @param bufferHosts hosts of the spare pool above its own need that are reserved to lend slots, by
 *     kind of host; they run no long work. Spare hosts above this number are released
 * @param paces limit on the hosts that a maintenance wave may have down at once, by pool
 * @param poolDecisions one for each pool, in the order of the view
 */
public record CapacityPlan(
    long basedOnOffset,
    List<ProposedMove> moves,
    Map<HostKind, Integer> bufferHosts,
    Map<String, PaceDecision> paces,
    List<PoolDecision> poolDecisions) {
  public CapacityPlan {
    moves = List.copyOf(moves);
    bufferHosts = Map.copyOf(bufferHosts);
    paces = Map.copyOf(paces);
    poolDecisions = List.copyOf(poolDecisions);
  }
}
