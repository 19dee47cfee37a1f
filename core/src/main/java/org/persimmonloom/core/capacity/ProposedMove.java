package org.persimmonloom.core.capacity;

/**
 * A move that the planner asks for.
 *
 * @param basedOnOffset log offset of the view; the fold refuses the move if the hosts or pools that
 *     it concerns changed since
 * @param reason figures behind the move and what would have changed the verdict
 */
public record ProposedMove(
    String host, String fromPool, String toPool, long basedOnOffset, String reason) {}
