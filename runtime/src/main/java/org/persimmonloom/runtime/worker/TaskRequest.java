package org.persimmonloom.runtime.worker;

/**
 * Body of the calls that change one task.
 *
 * @param boot the boot that the call is meant for
 * @param percent share of its processors that a throttled task may use; otherwise 100
 */
public record TaskRequest(long boot, int percent) {}
