package org.persimmonloom.core.release;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A change to one definition, read from one section of a release note.
 *
 * @param section the section's heading as written, for error messages
 * @param values values that the section sets, by key
 */
public record DefinitionChange(
    String section,
    ChangeAction action,
    DefinitionKind kind,
    String name,
    SortedMap<String, String> values) {
  public DefinitionChange {
    values = Collections.unmodifiableSortedMap(new TreeMap<>(values));
  }
}
