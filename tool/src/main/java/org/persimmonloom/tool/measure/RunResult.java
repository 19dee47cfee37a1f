package org.persimmonloom.tool.measure;

/**
 * Figures of one run.
 *
 * @param bufferHours host-hours held without need
 * @param rolloutSeconds time from the start of the wave until its last host was back
 * @param moves host moves started
 * @param waitP50Millis median wait of short work
 * @param headOfLineShare share of the wait of short work that fell on slots held by long work
 * @param violations planned steps after which a budget was exceeded
 * @param refusals proposals that the fold refused
 * @param longUnfinished long work that should have ended within the run and had not
 */
record RunResult(
    double bufferHours,
    double rolloutSeconds,
    int moves,
    double waitP50Millis,
    double waitP99Millis,
    double headOfLineShare,
    int violations,
    int refusals,
    long longUnfinished) {}
