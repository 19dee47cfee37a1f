package org.persimmonloom.runtime.worker;

import org.persimmonloom.core.job.JobSize;

/**
 * Body of {@code PUT /tasks/{job}/{attempt}}.
 *
 * @param boot the boot that the start is meant for; another boot refuses it
 * @param clockMillis reading of the worker's clock from which the lease counts
 * @param size what the task may use
 * @param checkpoint where to resume; empty for a fresh start
 */
public record StartRequest(
    long boot,
    long clockMillis,
    long leaseMillis,
    long placedOffset,
    String service,
    String kind,
    JobSize size,
    String checkpoint) {}
