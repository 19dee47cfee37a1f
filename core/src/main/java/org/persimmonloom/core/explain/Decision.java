package org.persimmonloom.core.explain;

import org.persimmonloom.core.result.ResultCode;

/**
 * One decision of the fold.
 *
 * @param offset where it was last made
 * @param timeMillis fold time of that record
 * @param code the verdict
 * @param figures the figures on which it was made
 * @param remedy what would change the verdict; empty for an accepted proposal
 * @param times how often the same verdict was reached in a row
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
