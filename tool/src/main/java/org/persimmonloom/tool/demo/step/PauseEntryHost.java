package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.EntryHostProcess;

/**
 * Freezes the connections of an entry host for some time; see {@link
 * org.persimmonloom.tool.demo.NetworkGate} for what that covers.
 *
 * @param host number of the entry host, from 0
 */
public record PauseEntryHost(int host, long millis) implements DemoStep {
  @Override
  public String description() {
    return "entry host " + (host + 1) + " is paused for " + millis + " ms";
  }

  @Override
  public void run(DemoRun run) throws InterruptedException {
    EntryHostProcess process = run.host(host);
    process.gate().freeze();
    Thread.sleep(millis);
    process.gate().thaw();
    run.progress("entry host " + (host + 1) + " goes on");
  }
}
