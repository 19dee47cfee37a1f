package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.measure.FoldMeasurement;

@Parameters(commandDescription = "Measure the fold rate and the size and time of snapshots")
final class MeasureFoldCommand implements Command {
  @Override
  public Either<Failure, String> run() {
    return Either.right(FoldMeasurement.run());
  }
}
