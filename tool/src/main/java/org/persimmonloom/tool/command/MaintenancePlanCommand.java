package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.persimmonloom.core.maintenance.MaintenancePlan;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

@Parameters(
    commandDescription =
        "Tell whether window and budgets allow a wave; all pools in 21 days if"
            + " neither pool, host nor window is given")
final class MaintenancePlanCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();
  @ParametersDelegate private MaintenanceOptions options = new MaintenanceOptions();

  @Parameter(names = "--json", description = "print the plan as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom maintenance plan --pool scan-workers --window 4h --expected-down 10m",
        "persimmonloom maintenance plan --expected-down 15m --max-at-once 8");
  }

  @Override
  public Either<Failure, String> run() {
    Optional<String> error = options.error(false);
    if (error.isPresent()) {
      return Either.left(Failure.of(ResultCode.USAGE, error.get()));
    }
    OperatorQuery query = options.addTo(new OperatorQuery("/maintenance/plan"));
    return OperatorAnswer.format(
        client.get(query.toString()), json, MaintenancePlan.class, MaintenancePlanCommand::text);
  }

  private static String text(MaintenancePlan plan) {
    TextTable table =
        new TextTable("HOSTS", "ROUNDS", "AT ONCE", "PER HOST", "NEEDED", "WINDOW", "HOSTS/DAY");
    table.add(
        plan.hosts(),
        plan.rounds(),
        plan.peakAtOnce(),
        Duration.ofMillis(plan.stepMillis()),
        Duration.ofMillis(plan.neededMillis()),
        Duration.ofMillis(plan.windowMillis()),
        String.format(Locale.ROOT, "%.1f", plan.hostsPerDay()));
    return table.toString();
  }
}
