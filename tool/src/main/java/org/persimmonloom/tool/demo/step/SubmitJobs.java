package org.persimmonloom.tool.demo.step;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.TaskState;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.demo.DemoDeployment;
import org.persimmonloom.tool.demo.DemoOperator;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.oracle.JobLedger;
import org.persimmonloom.tool.standin.TaskLedger;
import org.persimmonloom.tool.standin.TaskLedger.Run;

/**
 * Submits jobs, each twice, while one worker fails everything and another loses every third answer
 * after the action, and waits until all have ended at the workers.
 *
 * @param count number of jobs; every fourth may not be repeated
 * @param waitMillis how long the jobs may take together
 */
public record SubmitJobs(int count, long waitMillis) implements DemoStep {
  private static final int ONCE_EVERY = 4;
  private static final int LOSE_EVERY = 3;
  private static final long POLL_MILLIS = 200;

  @Override
  public String description() {
    return count + " jobs are submitted; one worker fails everything, one loses answers";
  }

  @Override
  public void run(DemoRun run) throws IOException, InterruptedException {
    run.platform().workers().get(0).failEverything(true);
    run.platform().workers().get(1).loseEveryAnswer(LOSE_EVERY);
    DemoOperator operator = new DemoOperator("jobs", run.host(0));
    List<JobSpec> jobs = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      JobSpec job = job(run.demand().spare(), number);
      submit(operator, job);
      submit(operator, job);
      run.oracle().jobs().accepted(job.job(), job.isRepeatable());
      jobs.add(job);
    }
    TaskLedger tasks = run.platform().tasks();
    long deadline = System.currentTimeMillis() + waitMillis;
    while (System.currentTimeMillis() < deadline
        && jobs.stream().anyMatch(job -> !hasEnded(job, tasks))) {
      Thread.sleep(POLL_MILLIS);
    }
    jobs.forEach(job -> report(job, tasks.runs(job.job()), run.oracle().jobs()));
    run.progress("jobs waited for: " + jobs.stream().filter(job -> hasEnded(job, tasks)).count());
  }

  private static JobSpec job(String service, int number) {
    return new JobSpec(
        System.currentTimeMillis() + "-demo-job-" + number,
        DemoDeployment.TEAM,
        "report",
        service,
        new JobSize(2, 1_024, 0),
        60_000,
        false,
        number % ONCE_EVERY != 0);
  }

  private static void submit(DemoOperator operator, JobSpec job) throws IOException {
    Either<Failure, String> answer = operator.post("/jobs", ProposalTypes.CODEC.toJson(job));
    if (answer.isLeft() && answer.getLeft().code() != ResultCode.ALREADY_APPLIED) {
      throw new IOException("job refused: " + answer.getLeft());
    }
  }

  /** A job that may not be repeated has ended with its first run, even if that failed. */
  private static boolean hasEnded(JobSpec job, TaskLedger tasks) {
    return tasks.runs(job.job()).stream()
        .anyMatch(
            run ->
                run.endMillis() != Long.MAX_VALUE
                    && (run.state() == TaskState.FINISHED || !job.isRepeatable()));
  }

  private static void report(JobSpec job, List<Run> runs, JobLedger ledger) {
    for (Run one : runs) {
      ledger.started(job.job(), one.worker());
      if (one.endMillis() != Long.MAX_VALUE) {
        boolean isFinished = one.state() == TaskState.FINISHED;
        ledger.ended(job.job(), one.worker(), isFinished);
        if (!isFinished && !job.isRepeatable()) {
          ledger.settled(job.job());
        }
      }
    }
  }
}
