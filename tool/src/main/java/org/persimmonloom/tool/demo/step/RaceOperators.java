package org.persimmonloom.tool.demo.step;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.demo.DemoOperator;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;

/**
 * Lets two operators apply different notes, based on the same revision, at two entry hosts at once.
 * One must win, and the other must be told the name of the winner.
 */
public record RaceOperators(String left, String right) implements DemoStep {
  @Override
  public String description() {
    return "two operators race with release notes " + left + " and " + right;
  }

  @Override
  public void run(DemoRun run) throws IOException {
    List<DemoOperator> operators =
        List.of(new DemoOperator("anna", run.host(0)), new DemoOperator("bojan", run.host(4)));
    long revision = operators.get(0).revision();
    CompletableFuture<Optional<Failure>> other =
        CompletableFuture.supplyAsync(() -> apply(run, operators.get(1), right, revision));
    List<Optional<Failure>> refusals =
        List.of(apply(run, operators.get(0), left, revision), other.join());
    run.oracle().race((int) refusals.stream().filter(Optional::isEmpty).count());
    for (int loser = 0; loser < refusals.size(); loser++) {
      if (refusals.get(loser).isPresent()) {
        checkRefusal(refusals.get(loser).get(), operators.get(1 - loser).name());
      }
    }
  }

  private static Optional<Failure> apply(
      DemoRun run, DemoOperator operator, String note, long revision) {
    try {
      return run.apply(operator, note, revision);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void checkRefusal(Failure refusal, String winner) throws IOException {
    if (refusal.code() != ResultCode.REVISION_CONFLICT || !refusal.detail().contains(winner)) {
      throw new IOException("the loser was told: " + refusal);
    }
  }
}
