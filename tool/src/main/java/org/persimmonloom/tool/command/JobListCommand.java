package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.operator.JobSummary;

@Parameters(commandDescription = "List jobs")
final class JobListCommand implements Command {
  private static final String FORMAT = "%-40s %-12s %-12s %-15s %-8s %8s  %s%n";

  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--state", description = "only jobs in this state, such as queued or parked")
  private String state = "";

  @Parameter(names = "--team", description = "only jobs of this team")
  private String team = "";

  @Parameter(names = "--limit", description = "at most so many jobs, up to 1000")
  private int limit = 200;

  @Parameter(names = "--json", description = "print JSON")
  private boolean isJson;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom job list --state parked", "persimmonloom job list --team laundry --json");
  }

  @Override
  public Either<Failure, String> run() {
    String path =
        "/jobs?limit=" + limit + "&team=" + team + "&state=" + state.toUpperCase(Locale.ROOT);
    Either<Failure, String> answer = client.get(path);
    return isJson ? answer : answer.flatMap(JobListCommand::table);
  }

  private static Either<Failure, String> table(String json) {
    return ProposalTypes.CODEC
        .fromJson(json, JobSummary[].class)
        .map(
            jobs ->
                Arrays.stream(jobs)
                    .map(JobListCommand::line)
                    .collect(Collectors.joining("", header(), "")));
  }

  private static String header() {
    return FORMAT.formatted("job", "team", "kind", "state", "worker", "attempts", "reason");
  }

  private static String line(JobSummary job) {
    return FORMAT.formatted(
        job.job(), job.team(), job.kind(), job.state(), job.worker(), job.attempts(), job.reason());
  }
}
