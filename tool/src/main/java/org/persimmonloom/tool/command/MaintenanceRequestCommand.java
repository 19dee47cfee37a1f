package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

@Parameters(commandDescription = "Request a maintenance wave")
final class MaintenanceRequestCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();
  @ParametersDelegate private MaintenanceOptions options = new MaintenanceOptions();

  @Parameter(names = "--wave", description = "unique name of the wave", required = true)
  private String wave;

  @Parameter(names = "--operator", description = "name shown to other operators")
  private String operator = System.getProperty("user.name");

  @Parameter(names = "--json", description = "print the verdict as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom maintenance request --wave kernel-6 --pool scan-workers --window 4h --expected-down 10m",
        "persimmonloom maintenance request --wave dimm --host host-17,host-18 --start 2026-12-04T22:00:00Z"
            + " --window 2h --max-at-once 2 --expected-down 20m");
  }

  @Override
  public Either<Failure, String> run() {
    Optional<String> error = options.error(true);
    if (error.isPresent()) {
      return Either.left(Failure.of(ResultCode.USAGE, error.get()));
    }
    OperatorQuery query = options.addTo(new OperatorQuery("/maintenance").with("wave", wave));
    return OperatorAnswer.verdict(
        client.post(query.with("operator", operator).toString(), ""), json);
  }
}
