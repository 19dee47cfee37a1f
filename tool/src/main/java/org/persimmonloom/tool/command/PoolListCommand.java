package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "List the pools with their hosts and budget room")
final class PoolListCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--json", description = "print as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom pool list", "persimmonloom pool list --json");
  }

  @Override
  public Either<Failure, String> run() {
    return OperatorAnswer.format(
        client.get("/pools"), json, PoolStatus[].class, PoolListCommand::text);
  }

  /** Returns one line for each pool. */
  static String text(PoolStatus[] pools) {
    TextTable table =
        new TextTable("POOL", "KIND", "SERVICE", "HOSTS", "AVAILABLE", "MOVING", "ROOM");
    for (PoolStatus pool : pools) {
      table.add(
          pool.pool(),
          pool.kind(),
          pool.isSpare() ? "(spare)" : pool.service(),
          pool.hosts(),
          pool.available(),
          "-" + pool.movingOut() + " +" + pool.movingIn(),
          pool.budgetRoom());
    }
    return table.toString();
  }
}
