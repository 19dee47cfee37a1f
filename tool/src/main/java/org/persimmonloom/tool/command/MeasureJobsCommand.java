package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.measure.JobMeasurement;

@Parameters(commandDescription = "Measure the cost of records of jobs and of placement")
final class MeasureJobsCommand implements Command {
  @Parameter(names = "--workers", description = "numbers of workers to place on")
  private List<Integer> workers = List.of(100, 1_000, 4_200);

  @Parameter(names = "--queued", description = "queued jobs of one planning run")
  private int queued = 1_000;

  @Parameter(names = "--runs", description = "planning runs; as many go before as a warm-up")
  private int runs = 21;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom measure jobs", "persimmonloom measure jobs --workers 100,4200 --queued 256");
  }

  @Override
  public Either<Failure, String> run() {
    List<String> lines = new ArrayList<>();
    lines.add(ProposalTypes.CODEC.toJson(JobMeasurement.records(1_000)));
    for (int count : workers) {
      lines.add(ProposalTypes.CODEC.toJson(JobMeasurement.placement(count, queued, runs)));
    }
    return Either.right(String.join("\n", lines));
  }
}
