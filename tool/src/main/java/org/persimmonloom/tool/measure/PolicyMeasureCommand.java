package org.persimmonloom.tool.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.command.Command;

/**
 * Compares the capacity policy with static allocation and a threshold rule. Fails if any planned
 * step broke a budget.
 */
@Parameters(commandDescription = "Compare the capacity policies on the four measures")
public final class PolicyMeasureCommand implements Command {
  @Parameter(names = "--deployment", description = "depot or bot", required = true)
  private Deployment deployment;

  @Parameter(names = "--seed", description = "first seed")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "number of seeds")
  private int seeds = 5;

  @Parameter(names = "--json", description = "print JSON")
  private boolean isJson;

  @Parameter(names = "--explain", description = "add the capacity report of one plan")
  private boolean isExplained;

  @Override
  public Either<Failure, String> run() {
    if (seeds < 1) {
      return Either.left(Failure.of(ResultCode.USAGE, "--seeds must be at least 1"));
    }
    List<PolicySummary> summaries = new PolicyMeasurement(deployment, seed, seeds).run();
    int violations = summaries.stream().mapToInt(PolicySummary::violations).sum();
    String text = isJson ? json(summaries) : MeasureTable.text(deployment, summaries);
    if (isExplained && !isJson) {
      text += explanation();
    }
    return violations == 0
        ? Either.right(text.stripTrailing())
        : Either.left(
            Failure.of(ResultCode.VERDICT_FAILED, violations + " budget violations\n" + text));
  }

  private String explanation() {
    Simulation simulation = new Simulation(deployment, PolicyKind.TREND.factory(), false, seed);
    simulation.run();
    return "\nlast plan that moved a host, seed " + seed + "\n" + simulation.report().text();
  }

  private static String json(List<PolicySummary> summaries) {
    try {
      return new ObjectMapper().writeValueAsString(summaries);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("summaries cannot be written as JSON", e);
    }
  }
}
