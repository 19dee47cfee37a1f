package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Show the release revision that each entry host applies")
final class ReleaseStatusCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Override
  public Either<Failure, String> run() {
    return client.get("/release/status");
  }
}
