package org.persimmonloom.runtime.operator;

import java.util.Deque;
import java.util.Map;
import java.util.Optional;

/**
 * A request of an operator.
 *
 * @param parameters query and path parameters
 * @param body the whole body as text
 */
public record OperatorRequest(Map<String, Deque<String>> parameters, String body) {
  /** Returns the first value of a parameter. */
  public Optional<String> parameter(String name) {
    return Optional.ofNullable(parameters.get(name)).map(Deque::peekFirst);
  }
}
