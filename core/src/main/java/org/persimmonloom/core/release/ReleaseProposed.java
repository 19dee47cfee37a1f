package org.persimmonloom.core.release;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * An operator's release note. The whole text travels, so that the fold validates it against the
 * state at its own offset.
 *
 * @param operator who applied the note, for the message that a losing operator gets
 * @param text the INI document
 * @param basedOn revision that was in force when the operator applied it; the {@code based_on} key
 *     of the document goes before it
 */
public record ReleaseProposed(String operator, String text, long basedOn) implements Proposal {
  public ReleaseProposed {
    Objects.requireNonNull(operator, "operator");
    Objects.requireNonNull(text, "text");
  }
}
