package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

@Parameters(commandDescription = "Apply a release note")
final class ReleaseApplyCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--file", description = "the release note", required = true)
  private String file;

  @Parameter(names = "--operator", description = "name shown to operators who race")
  private String operator = System.getProperty("user.name");

  @Override
  public Either<Failure, String> run() {
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.USAGE, "cannot read " + file));
    }
    return client.post("/release?operator=" + operator, text);
  }
}
