package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Show which entry host runs which revision")
final class ReleaseStatusCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--json", description = "print JSON")
  private boolean printsJson;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom release status --entry 127.0.0.1:7080",
        "persimmonloom release status --entry 127.0.0.1:7080 --json");
  }

  @Override
  public Either<Failure, String> run() {
    Either<Failure, String> json = client.get("/release/status");
    return printsJson ? json : json.flatMap(JsonTable::format);
  }
}
