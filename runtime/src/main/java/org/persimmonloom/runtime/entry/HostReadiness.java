package org.persimmonloom.runtime.entry;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.LogStatus;
import org.persimmonloom.runtime.operator.Readiness;
import org.persimmonloom.runtime.peer.ClusterService;

/**
 * Ready means: not stopping, able to fold the log, caught up since the start, registered in the
 * fold, and current. Safe for any thread.
 */
@Singleton
public final class HostReadiness implements Readiness {
  private final PlannedStop plannedStop;
  private final LogStatus logStatus;
  private final ClusterService cluster;

  @Inject
  public HostReadiness(PlannedStop plannedStop, LogStatus logStatus, ClusterService cluster) {
    this.plannedStop = plannedStop;
    this.logStatus = logStatus;
    this.cluster = cluster;
  }

  @Override
  public Optional<String> reasonNotReady() {
    if (plannedStop.isBegun()) {
      return Optional.of(Failure.of(ResultCode.STOPPING).toString());
    }
    return reasonRefused().map(Failure::toString);
  }

  /** Returns why new requests of callers are refused as not run, or empty. */
  public Optional<Failure> reasonRefused() {
    Optional<Failure> obstacle = logStatus.obstacle();
    if (obstacle.isPresent()) {
      return obstacle;
    }
    if (!cluster.isCaughtUp()) {
      return Optional.of(Failure.of(ResultCode.NOT_CURRENT));
    }
    if (!cluster.isRegistered()) {
      return Optional.of(Failure.of(ResultCode.NOT_REGISTERED));
    }
    return cluster.reasonNotCurrent();
  }
}
