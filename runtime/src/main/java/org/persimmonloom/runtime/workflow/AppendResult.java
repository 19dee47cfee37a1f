package org.persimmonloom.runtime.workflow;

/** Result of an append. */
public sealed interface AppendResult {
  /**
   * The records are durable.
   *
   * @param offset offset of the first record
   * @param end offset after the last record
   */
  record Appended(long offset, long end) implements AppendResult {}

  /**
   * The records were refused and will not be appended later.
   *
   * @param reason error text of the platform
   * @param isPermanent whether the same records would be refused again, since they are too large or
   *     malformed; parts of them may be accepted
   */
  record Refused(String reason, boolean isPermanent) implements AppendResult {
    /** Creates the result of a refusal that need not be repeated. */
    public Refused(String reason) {
      this(reason, false);
    }
  }

  /**
   * Nothing was appended: the table did not end at the expected offset.
   *
   * @param end offset at which the table ends
   */
  record Conflict(long end) implements AppendResult {}

  /** Nothing was appended: a writer with a newer epoch exists. */
  record Fenced() implements AppendResult {}

  /**
   * The result is unknown: the records may have been appended or may still be appended later.
   *
   * @param reason cause of the failure
   */
  record Unknown(String reason) implements AppendResult {}
}
