package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Apply a release note")
final class ReleaseApplyCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--file", description = "the release note", required = true)
  private String file;

  @Parameter(names = "--operator", description = "name shown to operators who race")
  private String operator = System.getProperty("user.name");

  @Parameter(names = "--json", description = "print JSON")
  private boolean printsJson;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom release apply --file config/examples/first-release.ini --operator anna");
  }

  @Override
  public Either<Failure, String> run() {
    String path = "/release?operator=" + URLEncoder.encode(operator, StandardCharsets.UTF_8);
    return NoteFile.read(file)
        .flatMap(text -> client.post(path, text))
        .flatMap(this::format)
        .mapLeft(NoteFile::withLines);
  }

  private Either<Failure, String> format(String json) {
    return printsJson
        ? Either.right(json)
        : ProposalTypes.CODEC.fromJson(json, ProposalResult.class).map(ProposalResult::detail);
  }
}
