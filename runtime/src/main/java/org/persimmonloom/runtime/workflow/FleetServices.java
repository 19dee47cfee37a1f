package org.persimmonloom.runtime.workflow;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.persimmonloom.core.scheduling.SchedulingSettings;

/**
 * Services and state that an owner uses during a term of ownership.
 *
 * @param hostName name of this entry host
 * @param log the platform's log
 * @param gateway calls to workers
 * @param machines the platform's service for worker hosts
 * @param placementPolicy the service that permits placements
 * @param decoder decoder of the platform's records
 * @param workflows replica of the workflow table
 * @param workflowFollower follower of the workflow table
 * @param operations replica of the configuration and the maintenance waves
 * @param scheduling limits of the scheduler
 * @param metrics counters and histograms
 * @param clock monotonic clock in milliseconds
 * @param wallClock wall clock
 */
public record FleetServices(
    String hostName,
    KeyedLog log,
    WorkerGateway gateway,
    MachineService machines,
    PlacementPolicyService placementPolicy,
    PlatformDecoder decoder,
    WorkflowReplica workflows,
    TableFollower workflowFollower,
    OperationsReplica operations,
    SchedulingSettings scheduling,
    WorkflowMetrics metrics,
    LongSupplier clock,
    InstantSource wallClock) {
  /**
   * Pause between reads on a host that is not the owner and only serves workflow states; records
   * accumulate meanwhile.
   */
  static final long FOLLOWER_PAUSE_MILLIS = 120;

  /** Pause between reads on the owner, which is shorter so that submissions start sooner. */
  static final long OWNER_PAUSE_MILLIS = 10;
}
