package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.Platform;

/**
 * Makes connections to an endpoint of the peak service silent for good.
 *
 * @param endpoint number of the endpoint, from 1
 * @param count number of connections
 */
public record SilenceConnections(int endpoint, int count) implements DemoStep {
  @Override
  public String description() {
    return count + " connections to endpoint " + endpoint + " of the peak service fall silent";
  }

  @Override
  public void run(DemoRun run) {
    String name = Platform.endpointName(run.demand().peak().name(), endpoint);
    run.platform().endpoint(name).silenceConnections(count);
  }
}
