package org.persimmonloom.core.job;

/**
 * The state of one task as reported by its worker.
 *
 * @param placedOffset placement offset from the start request; -1 if only a stop was received
 * @param runMillis run time so far in milliseconds, on the worker's clock
 * @param usedCores processors used, rounded up; updated with a delay
 * @param peakMemoryMb peak memory so far in MiB; updated with a delay
 * @param throttlePercent percentage of its reserved processors that the task may use
 * @param checkpoint name of the last checkpoint; empty if none
 * @param checkpointAgeMillis run time since the last checkpoint, or since the start if there is
 *     none
 * @param detail description of how the task ended; empty while it is running
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
