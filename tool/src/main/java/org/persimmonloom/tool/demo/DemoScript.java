package org.persimmonloom.tool.demo;

import java.util.List;
import org.persimmonloom.tool.demo.step.ApplyNote;
import org.persimmonloom.tool.demo.step.DisturbEndpoint;
import org.persimmonloom.tool.demo.step.DisturbLog;
import org.persimmonloom.tool.demo.step.LeaveEndpoint;
import org.persimmonloom.tool.demo.step.LoseEntryHost;
import org.persimmonloom.tool.demo.step.MaintainHosts;
import org.persimmonloom.tool.demo.step.MoveHost;
import org.persimmonloom.tool.demo.step.PauseEntryHost;
import org.persimmonloom.tool.demo.step.RaceOperators;
import org.persimmonloom.tool.demo.step.SilenceConnections;
import org.persimmonloom.tool.demo.step.StopEntryHost;
import org.persimmonloom.tool.demo.step.SubmitJobs;
import org.persimmonloom.tool.standin.EndpointFault;

/** The steps of a demo, in the order in which they begin. */
public final class DemoScript {
  private DemoScript() {}

  /**
   * Returns the steps of {@code persimmonloom demo}. Each fifth of the run is the peak of one
   * service, and the fourth is the peak of the non-repeatable one. Release notes come while no
   * entry host is disturbed, because the roll-out time counts all entry hosts.
   */
  public static List<ScheduledStep> standard(DemoDeployment deployment) {
    String waveService = deployment.services().get(0).name();
    List<String> waveHosts =
        List.of(Platform.endpointName(waveService, 7), Platform.endpointName(waveService, 8));
    return List.of(
        new ScheduledStep(0.02, new SubmitJobs(12, 25_000)),
        new ScheduledStep(0.15, new MaintainHosts(waveHosts, 1_200, 20_000)),
        new ScheduledStep(0.20, new MoveHost(8, 2)),
        new ScheduledStep(0.05, new SilenceConnections(1, 3)),
        new ScheduledStep(0.10, new DisturbEndpoint(2, EndpointFault.FAIL_EVERYTHING, 1, 4_000)),
        new ScheduledStep(0.21, new DisturbEndpoint(3, EndpointFault.CROSSED_ANSWER, 0.1, 1_000)),
        new ScheduledStep(0.24, new DisturbEndpoint(4, EndpointFault.SHORT_ANSWER, 0.1, 1_000)),
        new ScheduledStep(0.27, new DisturbEndpoint(5, EndpointFault.LATE_ANSWER, 0.1, 1_000)),
        new ScheduledStep(0.32, new ApplyNote("probe-middle")),
        new ScheduledStep(0.37, new RaceOperators("probe-left", "probe-right")),
        new ScheduledStep(0.41, new LeaveEndpoint(6)),
        new ScheduledStep(0.45, new PauseEntryHost(1, 3_000)),
        new ScheduledStep(0.61, new SilenceConnections(1, 2)),
        new ScheduledStep(0.62, new DisturbEndpoint(2, EndpointFault.CROSSED_ANSWER, 0.1, 1_000)),
        new ScheduledStep(0.63, new LoseEntryHost(2)),
        new ScheduledStep(0.64, new DisturbEndpoint(3, EndpointFault.SHORT_ANSWER, 0.1, 1_000)),
        new ScheduledStep(0.68, new DisturbLog(1_000, 2_500)),
        new ScheduledStep(0.88, new StopEntryHost(3)));
  }
}
