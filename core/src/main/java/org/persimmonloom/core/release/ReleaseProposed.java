package org.persimmonloom.core.release;

import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * A release note submitted by an operator. The proposal carries the whole text, because the fold
 * validates the note against the state at the offset of the proposal.
 *
 * @param operator operator who applied the note; named in the conflict message to other operators
 * @param text the INI document
 * @param basedOn revision that was in force when the operator applied the note; overridden by the
 *     {@code based_on} key of the document
 */
public record ReleaseProposed(String operator, String text, long basedOn) implements Proposal {
  public ReleaseProposed {
    Objects.requireNonNull(operator, "operator");
    Objects.requireNonNull(text, "text");
  }
}
