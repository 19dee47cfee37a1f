package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.result.Failure;

@Parameters(commandDescription = "List the hosts with pool and state")
final class HostListCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--pool", description = "only the hosts of this pool")
  private String pool;

  @Parameter(names = "--json", description = "print as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom host list", "persimmonloom host list --pool scan-executors --json");
  }

  @Override
  public Either<Failure, String> run() {
    return OperatorAnswer.format(
        client.get(new OperatorQuery("/hosts").with("pool", pool).toString()),
        json,
        Host[].class,
        HostListCommand::text);
  }

  private static String text(Host[] hosts) {
    TextTable table = new TextTable("HOST", "POOL", "DATA CENTRE", "RACK", "STATE", "SINCE", "FOR");
    for (Host host : hosts) {
      table.add(
          host.name(),
          host.pool(),
          host.facts().dataCentre(),
          host.facts().rack(),
          host.stateText(),
          Instant.ofEpochMilli(host.stateMillis()),
          host.drain() == null ? "" : host.drain().cause() + " " + host.drain().owner());
    }
    return table.toString();
  }
}
