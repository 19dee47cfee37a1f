package org.persimmonloom.core.release;

/**
 * One error in a release note.
 *
 * @param section heading of the section, or {@code -} for the document
 * @param key the key, or {@code -} for the section
 * @param reason what is wrong and what is allowed
 */
public record NoteError(String section, String key, String reason) {
  @Override
  public String toString() {
    return "[" + section + "] " + key + ": " + reason;
  }
}
