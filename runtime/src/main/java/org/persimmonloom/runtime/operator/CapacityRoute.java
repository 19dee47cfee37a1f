package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import javax.inject.Inject;
import org.persimmonloom.core.capacity.CapacityReport;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.fleet.CapacityController;

/** {@code GET /capacity}: the latest plan of this entry host and the figures it rests on. */
public final class CapacityRoute implements OperatorRoute {
  private final CapacityController controller;

  @Inject
  public CapacityRoute(CapacityController controller) {
    this.controller = controller;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/capacity";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    return controller
        .latest()
        .<Either<Failure, ?>>map(
            round -> Either.right(CapacityReport.of(round.view(), round.plan())))
        .orElseGet(() -> Either.left(Failure.of(ResultCode.NOT_CURRENT)));
  }
}
