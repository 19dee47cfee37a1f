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
   * The records were rejected and will not be appended later.
   *
   * @param reason error text of the platform
   */
  record Refused(String reason) implements AppendResult {}

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
