package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Move a host to another pool")
final class HostMoveCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--host", description = "the host", required = true)
  private String host;

  @Parameter(names = "--pool", description = "the pool to move to", required = true)
  private String pool;

  @Parameter(names = "--reason", description = "shown to other operators")
  private String reason = "moved by an operator";

  @Parameter(names = "--json", description = "print the verdict as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom host move --host host-17 --pool scan-workers --reason 'month end'");
  }

  @Override
  public Either<Failure, String> run() {
    OperatorQuery query =
        new OperatorQuery("/hosts/move")
            .with("host", host)
            .with("pool", pool)
            .with("reason", reason);
    return OperatorAnswer.verdict(client.post(query.toString(), ""), json);
  }
}
