package org.persimmonloom.core.release;

/**
 * One error in a release note.
 *
 * @param section heading of the section, or {@code -} if the error concerns the document
 * @param key the key, or {@code -} if the error concerns the section
 * @param reason description of the error and of the permitted values
 */
public record NoteError(String section, String key, String reason) {
  @Override
  public String toString() {
    return "[" + section + "] " + key + ": " + reason;
  }
}
