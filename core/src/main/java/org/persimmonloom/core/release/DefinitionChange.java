package org.persimmonloom.core.release;

import java.util.Collections;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One section of a release note.
 *
 * @param section the section's heading as written, for error messages
 * @param values the keys that the section sets
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
