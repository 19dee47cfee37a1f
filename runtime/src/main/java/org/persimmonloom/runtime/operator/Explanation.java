package org.persimmonloom.runtime.operator;

import java.util.List;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.explain.Subject;

/**
 * The answer to "why".
 *
 * @param present the state of the subject now; empty if the fold does not know it any more
 * @param decisions the kept decisions, oldest first
 */
public record Explanation(Subject subject, String present, List<Decision> decisions) {
  public Explanation {
    decisions = List.copyOf(decisions);
  }
}
