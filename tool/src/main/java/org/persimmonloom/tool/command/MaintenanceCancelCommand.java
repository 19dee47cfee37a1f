package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Cancel a maintenance wave; hosts that are down still return")
final class MaintenanceCancelCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--wave", description = "name of the wave", required = true)
  private String wave;

  @Parameter(names = "--reason", description = "shown to other operators")
  private String reason = "cancelled by an operator";

  @Parameter(names = "--operator", description = "name shown to other operators")
  private String operator = System.getProperty("user.name");

  @Parameter(names = "--json", description = "print the verdict as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom maintenance cancel --wave kernel-6 --reason 'wrong image'");
  }

  @Override
  public Either<Failure, String> run() {
    OperatorQuery query =
        new OperatorQuery("/maintenance/cancel")
            .with("wave", wave)
            .with("reason", reason)
            .with("operator", operator);
    return OperatorAnswer.verdict(client.post(query.toString(), ""), json);
  }
}
