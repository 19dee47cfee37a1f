package org.persimmonloom.tool.demo.step;

import java.io.IOException;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.EntryHostProcess;

/**
 * Cuts an entry host off for good and starts a new one in its place.
 *
 * @param host number of the entry host, from 0
 */
public record LoseEntryHost(int host) implements DemoStep {
  private static final long REPLACEMENT_MILLIS = 500;

  @Override
  public String description() {
    return "entry host " + (host + 1) + " is lost";
  }

  @Override
  public void run(DemoRun run) throws IOException, InterruptedException {
    EntryHostProcess lost = run.host(host);
    run.oracle().rollout().gone(lost.name());
    lost.lose();
    Thread.sleep(REPLACEMENT_MILLIS);
    run.progress(run.startReplacement().name() + " started in its place");
  }
}
