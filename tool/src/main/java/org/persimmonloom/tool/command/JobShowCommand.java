package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.job.Attempt;
import org.persimmonloom.core.job.Job;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.operator.JobView;

@Parameters(commandDescription = "Show one job")
final class JobShowCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(description = "JOB", required = true)
  private String job;

  @Parameter(names = "--json", description = "print JSON")
  private boolean isJson;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom job show 1767225600000-billing-2026-01-01");
  }

  @Override
  public Either<Failure, String> run() {
    Either<Failure, String> answer = client.get("/jobs/" + job);
    return isJson
        ? answer
        : answer
            .flatMap(json -> ProposalTypes.CODEC.fromJson(json, JobView.class))
            .map(JobShowCommand::text);
  }

  private static String text(JobView view) {
    Job job = view.job();
    StringBuilder text = new StringBuilder();
    line(text, "job", job.name());
    line(text, "team", job.spec().team());
    line(text, "kind", job.spec().kind() + " of " + job.spec().service());
    line(text, "declared", job.spec().size() + ", " + job.spec().declaredRunMillis() + " ms");
    line(text, "state", job.state() + (job.reason().isEmpty() ? "" : ": " + job.reason()));
    if (job.live() != null) {
      line(text, "attempt", attempt(job.live()));
    }
    line(text, "history", job.history().toString());
    line(text, "checkpoint", job.checkpoint());
    line(text, "waiting", view.waiting());
    return text.toString().stripTrailing();
  }

  private static String attempt(Attempt attempt) {
    return attempt.number()
        + " at "
        + attempt.worker()
        + " with "
        + attempt.size()
        + ", leased until "
        + attempt.leaseUntilMillis()
        + (attempt.stop() == Attempt.Stop.NONE ? "" : ", stopping: " + attempt.stop());
  }

  private static void line(StringBuilder text, String name, String value) {
    if (!value.isEmpty()) {
      text.append("%-11s %s%n".formatted(name, value));
    }
  }
}
