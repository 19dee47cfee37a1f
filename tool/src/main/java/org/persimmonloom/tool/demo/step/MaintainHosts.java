package org.persimmonloom.tool.demo.step;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.demo.DemoOperator;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.oracle.BudgetCheck;
import org.persimmonloom.tool.standin.EndpointStandIn;
import org.persimmonloom.tool.standin.HostListStandIn;

/**
 * Requests a maintenance wave over endpoints whose pool may miss one host, with more at once than
 * the budget allows. A reboot stops the endpoint, so work that is still sent there is lost.
 *
 * @param hosts names of the endpoints, all of one pool
 * @param downMillis how long a reboot takes
 * @param waitMillis how long the step waits for all reboots
 */
public record MaintainHosts(List<String> hosts, long downMillis, long waitMillis)
    implements DemoStep {
  private static final int MAX_UNAVAILABLE = 1;
  private static final long POLL_MILLIS = 100;
  private static final long WINDOW_MILLIS = 3_600_000;

  @Override
  public String description() {
    return "a maintenance wave over " + String.join(", ", hosts);
  }

  @Override
  public void run(DemoRun run) throws IOException, InterruptedException {
    HostListStandIn hostList = run.platform().hostList();
    BudgetCheck budgets = run.oracle().budgets();
    budgets.limit(description(), MAX_UNAVAILABLE);
    hostList.setRebootMillis(downMillis);
    hostList.onReboot(host -> reboot(run, budgets, host));
    long now = System.currentTimeMillis();
    Either<Failure, String> answer =
        new DemoOperator("wave", run.host(0))
            .post(
                "/maintenance?wave=demo-wave&operator=wave&max_at_once=2&host="
                    + String.join(",", hosts)
                    + "&expected_down="
                    + downMillis
                    + "&start="
                    + now
                    + "&end="
                    + (now + WINDOW_MILLIS),
                "");
    if (answer.isLeft()) {
      throw new IOException("wave refused: " + answer.getLeft());
    }
    long deadline = now + waitMillis;
    while (hostList.rebootCount() < hosts.size()) {
      if (System.currentTimeMillis() > deadline) {
        throw new IOException(hostList.rebootCount() + " of " + hosts.size() + " reboots happened");
      }
      Thread.sleep(POLL_MILLIS);
    }
    run.progress("all hosts of the wave were rebooted");
  }

  private void reboot(DemoRun run, BudgetCheck budgets, String host) {
    run.progress(host + " reboots");
    EndpointStandIn endpoint = run.platform().endpoint(host);
    budgets.down(description(), host, true);
    endpoint.stop();
    Executor later = CompletableFuture.delayedExecutor(downMillis, TimeUnit.MILLISECONDS);
    later.execute(
        () -> {
          endpoint.start();
          budgets.up(description(), host);
        });
  }
}
