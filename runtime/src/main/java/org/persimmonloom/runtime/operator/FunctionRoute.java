package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.util.function.Function;
import org.persimmonloom.core.result.Failure;

/** A route that is one function. Immutable; as safe as its function. */
record FunctionRoute(
    String method, String path, Function<OperatorRequest, Either<Failure, ?>> handler)
    implements OperatorRoute {
  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return handler.apply(request);
  }
}
