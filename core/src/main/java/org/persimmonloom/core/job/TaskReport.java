package org.persimmonloom.core.job;

/**
 * What a worker reports of one task.
 *
 * @param placedOffset the offset that came with the start; -1 if only a stop arrived
 * @param runMillis run time so far, on the worker's clock
 * @param usedCores processors used, rounded up; lags
 * @param peakMemoryMb highest memory so far, in MiB; lags
 * @param checkpoint name of the last checkpoint; empty if none
 * @param checkpointAgeMillis run time since the last checkpoint or the start
 * @param detail how it ended; empty while it runs
 */
public record TaskReport(
    String job,
    int attempt,
    TaskState state,
    long placedOffset,
    long runMillis,
    long usedCores,
    long peakMemoryMb,
    int throttlePercent,
    String checkpoint,
    long checkpointAgeMillis,
    String detail) {}
