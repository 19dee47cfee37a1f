package org.persimmonloom.runtime.workflow;

/**
 * Time limits of a submission.
 *
 * @param appendTimeoutMillis how long a refused append is repeated before the caller is told to
 *     come back
 * @param peerDelayMillis how long this host's own append may take before another host is asked
 * @param peerAppendTimeoutMillis how long an append through another host may take
 */
public record SubmissionLimits(
    long appendTimeoutMillis, long peerDelayMillis, long peerAppendTimeoutMillis) {
  /** Limits that leave time for two other hosts within a caller's usual deadline of 3 s. */
  static final SubmissionLimits DEFAULT = new SubmissionLimits(500, 300, 900);
}
