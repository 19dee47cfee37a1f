package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.capacity.CapacityReport;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Show demand, head room and planned moves of each pool")
final class ReportCapacityCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--json", description = "print JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom report capacity --entry 127.0.0.1:7080",
        "persimmonloom report capacity --entry 127.0.0.1:7080 --json");
  }

  @Override
  public Either<Failure, String> run() {
    Either<Failure, String> answer = client.get("/capacity");
    return json
        ? answer
        : answer
            .flatMap(text -> ProposalTypes.CODEC.fromJson(text, CapacityReport.class))
            .map(CapacityReport::text);
  }
}
