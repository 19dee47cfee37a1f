package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.List;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.operator.WaveView;

@Parameters(commandDescription = "Show the maintenance waves and recent alerts")
final class MaintenanceStatusCommand implements Command {
  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(names = "--wave", description = "only this wave, with its hosts")
  private String wave;

  @Parameter(names = "--json", description = "print as JSON")
  private boolean json;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom maintenance status",
        "persimmonloom maintenance status --wave kernel-6 --json");
  }

  @Override
  public Either<Failure, String> run() {
    return OperatorAnswer.format(
        client.get(new OperatorQuery("/maintenance").with("wave", wave).toString()),
        json,
        WaveView.Overview.class,
        this::text);
  }

  private String text(WaveView.Overview overview) {
    TextTable waves =
        new TextTable(
            "WAVE", "STATUS", "PENDING", "OUT", "DONE", "SKIPPED", "WINDOW END", "REASON");
    for (WaveView view : overview.waves()) {
      waves.add(
          view.wave(),
          view.status(),
          view.pending(),
          view.inProgress().size(),
          view.done(),
          view.skipped().size(),
          Instant.ofEpochMilli(view.windowEndMillis()),
          view.reason());
    }
    return waves + (wave == null ? alerts(overview.alerts()) : hosts(overview.waves().get(0)));
  }

  private static String alerts(List<Decision> alerts) {
    if (alerts.isEmpty()) {
      return "";
    }
    TextTable table = new TextTable("ALERT AT", "SUBJECT", "TEXT");
    alerts.forEach(
        alert ->
            table.add(
                Instant.ofEpochMilli(alert.timeMillis()),
                alert.subject().kind() + " " + alert.subject().id(),
                alert.figures()));
    return "\n\n" + table;
  }

  private static String hosts(WaveView view) {
    TextTable table = new TextTable("HOST", "PROGRESS");
    view.inProgress().forEach(host -> table.add(host, "out"));
    view.skipped().forEach((host, reason) -> table.add(host, "skipped: " + reason));
    return "\n\n" + table;
  }
}
