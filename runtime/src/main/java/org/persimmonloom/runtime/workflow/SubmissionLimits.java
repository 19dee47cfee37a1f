package org.persimmonloom.runtime.workflow;

/**
 * Time limits of a submission.
 *
 * @param appendTimeoutMillis how long a refused append is retried before the submission is refused
 * @param peerDelayMillis delay before an append through another host is tried as well
 * @param peerAppendTimeoutMillis timeout of an append through another host
 */
public record SubmissionLimits(
    long appendTimeoutMillis, long peerDelayMillis, long peerAppendTimeoutMillis) {
  /**
   * Limits that allow for tries through two other hosts within the usual caller deadline of 3 s.
   */
  static final SubmissionLimits DEFAULT = new SubmissionLimits(500, 300, 900);
}
