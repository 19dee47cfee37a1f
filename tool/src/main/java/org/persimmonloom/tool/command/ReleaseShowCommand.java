package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.release.ReleaseCatalog;
import org.persimmonloom.core.result.Failure;

@Parameters(
    commandDescription = "Show the definitions in force and the note that changed them last")
final class ReleaseShowCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--json", description = "print JSON")
  private boolean printsJson;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom release show --entry 127.0.0.1:7080");
  }

  @Override
  public Either<Failure, String> run() {
    Either<Failure, String> json = client.get("/release");
    return printsJson ? json : json.flatMap(ReleaseShowCommand::format);
  }

  static Either<Failure, String> format(String json) {
    return ProposalTypes.CODEC
        .fromJson(json, ReleaseCatalog.Snapshot.class)
        .map(ReleaseShowCommand::format);
  }

  private static String format(ReleaseCatalog.Snapshot snapshot) {
    ReleaseCatalog.Revision revision = snapshot.current();
    StringBuilder text = new StringBuilder();
    text.append(
        "; revision %d: note %s by %s, accepted at offset %d, %s%n"
            .formatted(
                revision.number(),
                revision.name(),
                revision.operator(),
                revision.offset(),
                Instant.ofEpochMilli(revision.timeMillis())));
    snapshot
        .values()
        .forEach(
            (kind, byName) ->
                byName.forEach(
                    (name, values) -> {
                      String word = kind.name().toLowerCase(Locale.ROOT);
                      text.append("%n[%s %s]%n".formatted(word, name));
                      values.forEach((key, value) -> text.append(key + " = " + value + "\n"));
                    }));
    return text.toString().stripTrailing();
  }
}
