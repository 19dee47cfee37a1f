package org.persimmonloom.core.release;

import java.util.List;

/**
 * A parsed release note: what is added, changed and withdrawn.
 *
 * @param name name that operators gave the note
 * @param basedOn revision the note was written against; null if the author left it out
 * @param changes in the order of the document
 */
public record ReleaseNote(String name, Long basedOn, List<DefinitionChange> changes) {
  public ReleaseNote {
    changes = List.copyOf(changes);
  }
}
