package org.persimmonloom.runtime.workflow;

/** Answer to an append. */
public sealed interface AppendResult {
  /**
   * The records are durable.
   *
   * @param offset offset of the first record
   * @param end offset after the last record
   */
  record Appended(long offset, long end) implements AppendResult {}

  /**
   * Nothing was appended, and nothing will be.
   *
   * @param reason what the platform said
   */
  record Refused(String reason) implements AppendResult {}

  /**
   * Nothing was appended, because the table did not end at the required offset.
   *
   * @param end where it ends
   */
  record Conflict(long end) implements AppendResult {}

  /** Nothing was appended, because a writer with a newer epoch has appeared. */
  record Fenced() implements AppendResult {}

  /**
   * The records may be appended, also later.
   *
   * @param reason what went wrong
   */
  record Unknown(String reason) implements AppendResult {}
}
