package org.persimmonloom.core.explain;

import org.persimmonloom.core.result.ResultCode;

/**
 * A decision made by the fold.
 *
 * @param offset log offset at which the decision was last made
 * @param timeMillis fold time at that offset
 * @param subject what the decision is about
 * @param code result of the decision
 * @param figures values on which the decision is based
 * @param remedy condition that would change the result; empty for an accepted proposal
 * @param times number of consecutive decisions with the same code and figures
 * @param isAlert whether an operator should look at the decision
 */
public record Decision(
    long offset,
    long timeMillis,
    Subject subject,
    ResultCode code,
    String figures,
    String remedy,
    int times,
    boolean isAlert) {}
