package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;

/** One path of the operators' interface. Implementations are safe for any thread and may block. */
public interface OperatorRoute {
  /** Returns the HTTP method, such as {@code GET}. */
  String method();

  /** Returns the path; {@code {name}} marks a parameter. */
  String path();

  /** Returns the value to send as JSON, or why the request is refused. */
  Either<Failure, ?> handle(OperatorRequest request);
}
