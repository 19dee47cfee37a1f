package org.persimmonloom.core.release;

import java.util.List;

/**
 * A parsed release note: the definitions to add, change and withdraw.
 *
 * @param name name that the operator gave the note
 * @param basedOn revision the note was written against; null if the note does not state it
 * @param changes changes in the order of the document
 */
public record ReleaseNote(String name, Long basedOn, List<DefinitionChange> changes) {
  public ReleaseNote {
    changes = List.copyOf(changes);
  }
}
