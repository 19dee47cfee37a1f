package org.persimmonloom.runtime.operator;

import org.persimmonloom.core.job.Job;

/**
 * A job as operators see it.
 *
 * @param waiting why it is not placed yet, as far as the answering entry host knows; empty if it
 *     does not
 */
public record JobView(Job job, String waiting) {}
