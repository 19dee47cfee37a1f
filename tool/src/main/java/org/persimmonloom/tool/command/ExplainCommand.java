package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.operator.Explanation;

@Parameters(commandDescription = "Explain the recent decisions about a subject")
final class ExplainCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(description = "host|pool|wave|job|request ID")
  private List<String> subject = new ArrayList<>();

  @Parameter(names = "--json", description = "print as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom explain host host-17", "persimmonloom explain wave kernel-6 --json");
  }

  @Override
  public Either<Failure, String> run() {
    if (subject.size() != 2) {
      return Either.left(Failure.of(ResultCode.USAGE, "explain host|pool|wave|job|request ID"));
    }
    OperatorQuery query =
        new OperatorQuery("/explain").with("kind", subject.get(0)).with("id", subject.get(1));
    return OperatorAnswer.format(
        client.get(query.toString()), json, Explanation.class, ExplainCommand::text);
  }

  private static String text(Explanation explanation) {
    TextTable table =
        new TextTable("OFFSET", "TIME", "SUBJECT", "CODE", "TIMES", "DECISION", "CHANGES IF");
    for (Decision decision : explanation.decisions()) {
      table.add(
          decision.offset(),
          Instant.ofEpochMilli(decision.timeMillis()),
          decision.subject().id(),
          decision.isAlert() ? "ALERT" : decision.code().number() + " " + decision.code(),
          decision.times(),
          decision.figures(),
          decision.remedy());
    }
    String present = explanation.present().isEmpty() ? "unknown now" : explanation.present();
    return explanation.subject().id() + ": " + present + "\n\n" + table;
  }
}
