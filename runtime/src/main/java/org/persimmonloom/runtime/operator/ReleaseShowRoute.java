package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.log.ReplicatedState;

/** {@code GET /release}: the definitions in force. */
public final class ReleaseShowRoute implements OperatorRoute {
  private final ReplicatedState state;

  @Inject
  public ReleaseShowRoute(ReplicatedState state) {
    this.state = state;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/release";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return Either.right(state.read(fleet -> fleet.releases().snapshot()));
  }
}
