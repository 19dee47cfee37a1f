package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.demo.Platform;
import org.persimmonloom.tool.standin.EndpointFault;
import org.persimmonloom.tool.standin.EndpointStandIn;

/**
 * Gives an endpoint of the peak service a fault for some time.
 *
 * @param endpoint number of the endpoint, from 1
 * @param share share of its requests that the fault hits
 * @param millis how long the fault lasts
 */
public record DisturbEndpoint(int endpoint, EndpointFault fault, double share, long millis)
    implements DemoStep {
  @Override
  public String description() {
    return "endpoint %d of the peak service has %s for %d ms".formatted(endpoint, fault, millis);
  }

  @Override
  public void run(DemoRun run) throws InterruptedException {
    String name = Platform.endpointName(run.demand().peak().name(), endpoint);
    EndpointStandIn target = run.platform().endpoint(name);
    target.setFault(fault, share);
    Thread.sleep(millis);
    target.setFault(EndpointFault.NONE, 1);
  }
}
