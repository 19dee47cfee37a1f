package org.persimmonloom.tool.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.Map;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.command.Command;

/** Compares strategies for sharing endpoints between entry hosts, by simulation. */
@Parameters(commandDescription = "Compare routing strategies in a simulation")
public final class MeasureRoutingCommand implements Command {
  @Parameter(names = "--deployment", description = "depot or bot")
  private String deployment = "depot";

  @Parameter(names = "--seeds", description = "number of runs per strategy")
  private int seeds = 5;

  @Parameter(names = "--report-age", description = "age in ms at which load reports take effect")
  private long reportAgeMillis = 500;

  @Parameter(names = "--json", description = "print JSON")
  private boolean isJson = false;

  @Override
  public Either<Failure, String> run() {
    if (!deployment.equals("depot") && !deployment.equals("bot")) {
      return Either.left(Failure.of(ResultCode.USAGE, "--deployment is depot or bot"));
    }
    if (seeds < 1 || reportAgeMillis < 0) {
      return Either.left(Failure.of(ResultCode.USAGE, "--seeds and --report-age are positive"));
    }
    RoutingModel model = RoutingModel.of(deployment, reportAgeMillis);
    Map<String, Map<String, Spread>> rows = new RoutingComparison(model, seeds).run();
    return Either.right(isJson ? ProposalTypes.CODEC.toJson(rows) : RoutingComparison.table(rows));
  }
}
