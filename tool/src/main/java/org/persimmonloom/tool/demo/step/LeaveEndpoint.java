package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.Platform;

/**
 * Marks an endpoint of the peak service as leaving in the host list. The first sign counts from
 * when readers see the mark, after the lag of the list.
 *
 * @param endpoint number of the endpoint, from 1
 */
public record LeaveEndpoint(int endpoint) implements DemoStep {
  @Override
  public String description() {
    return "endpoint " + endpoint + " of the peak service is leaving";
  }

  @Override
  public void run(DemoRun run) {
    String name = Platform.endpointName(run.demand().peak().name(), endpoint);
    run.platform().hostList().setLeaving(name, true);
    long visibleMillis = System.currentTimeMillis() + Platform.HOST_LIST_LAG_MILLIS;
    run.oracle().requests().leaving(name, visibleMillis);
  }
}
