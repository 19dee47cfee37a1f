package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import java.util.UUID;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

@Parameters(commandDescription = "Submit a job")
final class JobSubmitCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(
      names = "--job",
      description = "identifier, <unix millis>-<8 to 64 characters>; made up if not given")
  private String job = System.currentTimeMillis() + "-" + UUID.randomUUID();

  @Parameter(names = "--team", description = "team whose quota the job takes", required = true)
  private String team;

  @Parameter(names = "--kind", description = "kind of job", required = true)
  private String kind;

  @Parameter(names = "--service", description = "service whose workers run it", required = true)
  private String service;

  @Parameter(names = "--cores", description = "processors")
  private long cores = 1;

  @Parameter(names = "--memory-mb", description = "memory in MiB")
  private long memoryMb = 1_024;

  @Parameter(names = "--accelerators", description = "number of accelerators")
  private long accelerators = 0;

  @Parameter(names = "--run-seconds", description = "declared run time in seconds")
  private long runSeconds = 600;

  @Parameter(names = "--urgent", description = "goes first and may preempt")
  private boolean isUrgent;

  @Parameter(names = "--once", description = "must not run again after it may have run")
  private boolean isOnce;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom job submit --team laundry --kind sizing --service scan --cores 4",
        "persimmonloom job submit --team bot --kind audit --service checks --urgent",
        "persimmonloom job submit --team laundry --kind billing --service scan --once --job 1767225600000-billing-2026-01-01");
  }

  @Override
  public Either<Failure, String> run() {
    JobSize size = new JobSize(cores, memoryMb, accelerators);
    JobSpec spec =
        new JobSpec(job, team, kind, service, size, runSeconds * 1_000, isUrgent, !isOnce);
    Either<Failure, String> answer = client.post("/jobs", ProposalTypes.CODEC.toJson(spec));
    boolean isRepeated = answer.isLeft() && answer.getLeft().code() == ResultCode.ALREADY_APPLIED;
    return isRepeated || answer.isRight() ? Either.right(job) : answer;
  }
}
