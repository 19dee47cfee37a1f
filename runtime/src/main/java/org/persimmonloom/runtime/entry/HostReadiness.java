package org.persimmonloom.runtime.entry;

import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.LogStatus;
import org.persimmonloom.runtime.operator.Readiness;
import org.persimmonloom.runtime.operator.StoppingFlag;
import org.persimmonloom.runtime.peer.ClusterService;

/**
 * Ready means: not stopping, able to fold the log, caught up since the start, and current. Safe for
 * any thread.
 */
@Singleton
public final class HostReadiness implements Readiness {
  private final StoppingFlag stopping;
  private final LogStatus logStatus;
  private final ClusterService cluster;

  @Inject
  public HostReadiness(StoppingFlag stopping, LogStatus logStatus, ClusterService cluster) {
    this.stopping = stopping;
    this.logStatus = logStatus;
    this.cluster = cluster;
  }

  @Override
  public Optional<String> reasonNotReady() {
    if (stopping.isSet()) {
      return Optional.of(Failure.of(ResultCode.STOPPING).toString());
    }
    Optional<Failure> obstacle = logStatus.obstacle();
    if (obstacle.isPresent()) {
      return obstacle.map(Failure::toString);
    }
    if (!cluster.isCaughtUp()) {
      return Optional.of("the platform log is not folded to the offset seen at the start");
    }
    return cluster.reasonNotCurrent().map(Failure::toString);
  }
}
