package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.EntryHostProcess;

/**
 * Stops an entry host under load, as a signal would.
 *
 * @param host number of the entry host, from 0
 */
public record StopEntryHost(int host) implements DemoStep {
  @Override
  public String description() {
    return "planned stop of entry host " + (host + 1);
  }

  @Override
  public void run(DemoRun run) throws InterruptedException {
    EntryHostProcess process = run.host(host);
    run.oracle().rollout().gone(process.name());
    run.oracle().requests().plannedStop(process.name(), System.currentTimeMillis());
    process.stop();
    run.progress("entry host " + (host + 1) + " has stopped");
  }
}
