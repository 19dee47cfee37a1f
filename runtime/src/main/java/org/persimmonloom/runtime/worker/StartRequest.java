package org.persimmonloom.runtime.worker;

import org.persimmonloom.core.job.JobSize;

/**
 * Body of {@code PUT /tasks/{job}/{attempt}}.
 *
 * @param boot the worker boot that the call addresses; the worker rejects it after a reboot
 * @param clockMillis worker clock reading at which the lease begins
 * @param size the resources that the task may use
 * @param checkpoint the checkpoint to resume from; empty to start from the beginning
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
