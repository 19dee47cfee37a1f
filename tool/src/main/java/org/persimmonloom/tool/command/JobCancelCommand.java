package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Cancel a job")
final class JobCancelCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(description = "JOB", required = true)
  private String job;

  @Parameter(names = "--operator", description = "name shown as the reason")
  private String operator = System.getProperty("user.name");

  @Override
  public List<String> examples() {
    return List.of("persimmonloom job cancel 1767225600000-billing-2026-01-01");
  }

  @Override
  public Either<Failure, String> run() {
    return client.post("/jobs/" + job + "/cancel?operator=" + operator, "");
  }
}
