package org.persimmonloom.runtime.worker;

/**
 * Body of the checkpoint, throttle and stop calls for one task.
 *
 * @param boot the worker boot that the call addresses
 * @param percent percentage of its processors that a throttled task may use; 100 for other calls
 */
public record TaskRequest(long boot, int percent) {}
