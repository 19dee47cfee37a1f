package org.persimmonloom.core.capacity;

import java.util.List;
import java.util.Map;
import org.persimmonloom.core.host.HostKind;

/**
 * The decisions of one planning round.
 *
 * @param bufferHosts hosts of the spare pool beyond its own need that are kept ready to lend slots,
 *     by kind of host; they run no long work. The spare hosts beyond them are released
 * @param paces pace of a maintenance wave, by pool
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
