package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * {@code POST /release/validate}: every reason why the release note in the body would be refused
 * now; an empty list if it would be accepted. Proposes nothing.
 */
public final class ReleaseValidateRoute implements OperatorRoute {
  private final ReplicatedState state;

  @Inject
  public ReleaseValidateRoute(ReplicatedState state) {
    this.state = state;
  }

  @Override
  public String method() {
    return "POST";
  }

  @Override
  public String path() {
    return "/release/validate";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return Either.right(state.read(fleet -> fleet.releases().validate(request.body())));
  }
}
