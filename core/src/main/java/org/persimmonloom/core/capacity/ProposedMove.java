package org.persimmonloom.core.capacity;

/**
 * A move that the planner proposes.
 *
 * @param basedOnOffset log offset of the view; the fold refuses the move if the hosts or pools that
 *     it concerns changed since
 * @param reason figures of the decision and the values at which the host would have stayed
 */
public record ProposedMove(
    String host, String fromPool, String toPool, long basedOnOffset, String reason) {}
