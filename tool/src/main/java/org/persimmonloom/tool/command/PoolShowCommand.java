package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.maintenance.BudgetUse;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "Show one pool and who holds its budgets")
final class PoolShowCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--pool", description = "the pool", required = true)
  private String pool;

  @Parameter(names = "--json", description = "print as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom pool show --pool scan-executors");
  }

  @Override
  public Either<Failure, String> run() {
    return OperatorAnswer.format(
        client.get(new OperatorQuery("/pools").with("pool", pool).toString()),
        json,
        PoolStatus[].class,
        PoolShowCommand::text);
  }

  private static String text(PoolStatus[] pools) {
    TextTable table = new TextTable("BUDGET", "ALLOWS", "ROOM", "HELD BY", "UNPLANNED");
    for (BudgetUse use : pools[0].budgets()) {
      table.add(
          use.group().key(),
          use.group().maxUnavailable(),
          use.room(),
          String.join(",", use.holders()),
          String.join(",", use.unplanned()));
    }
    return PoolListCommand.text(pools) + "\n\n" + pools[0].hostsByState() + "\n\n" + table;
  }
}
