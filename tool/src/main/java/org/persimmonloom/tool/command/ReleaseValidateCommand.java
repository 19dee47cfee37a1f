package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.release.NoteError;
import org.persimmonloom.core.release.ReleaseNote;
import org.persimmonloom.core.release.ReleaseNoteParser;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

@Parameters(
    commandDescription =
        "Check a release note without applying it: its form, and with --entry also whether it fits"
            + " what is in force")
final class ReleaseValidateCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--file", description = "the release note", required = true)
  private String file;

  @Parameter(names = "--json", description = "print JSON")
  private boolean printsJson;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom release validate --file config/examples/first-release.ini",
        "persimmonloom release validate --file note.ini --entry 127.0.0.1:7080");
  }

  @Override
  public Either<Failure, String> run() {
    return NoteFile.read(file).flatMap(this::errors).flatMap(this::report);
  }

  private Either<Failure, List<NoteError>> errors(String text) {
    List<NoteError> formErrors =
        new ReleaseNoteParser().parse(text).fold(it -> it, (ReleaseNote note) -> List.of());
    if (!formErrors.isEmpty() || !client.isEntryGiven()) {
      return Either.right(formErrors);
    }
    return client
        .post("/release/validate", text)
        .flatMap(json -> ProposalTypes.CODEC.fromJson(json, NoteError[].class))
        .map(List::of);
  }

  private Either<Failure, String> report(List<NoteError> errors) {
    if (errors.isEmpty()) {
      return Either.right(printsJson ? "[]" : "the release note is valid");
    }
    if (printsJson) {
      System.out.println(ProposalTypes.CODEC.toJson(errors));
      return Either.left(Failure.of(ResultCode.NOTE_INVALID, errors.size(), "listed as JSON"));
    }
    return Either.left(Failure.of(ResultCode.NOTE_INVALID, errors.size(), NoteFile.lines(errors)));
  }
}
