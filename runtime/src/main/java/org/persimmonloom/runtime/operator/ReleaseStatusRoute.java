package org.persimmonloom.runtime.operator;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.List;
import java.util.stream.Stream;
import javax.inject.Inject;
import org.persimmonloom.core.member.Heartbeat;
import org.persimmonloom.core.member.PeerView;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.runtime.peer.ClusterService;

/** {@code GET /release/status}: the revision that each entry host applies. */
public final class ReleaseStatusRoute implements OperatorRoute {
  private final ClusterService cluster;
  private final InstantSource clock;

  /**
   * How far one entry host is.
   *
   * @param revision revision of the release note that it applies
   * @param offset first offset that it has not folded
   * @param heardMillisAgo age of this information; 0 for the host that answers
   */
  public record AppliedRelease(String name, long revision, long offset, long heardMillisAgo) {
    private static AppliedRelease of(Heartbeat heartbeat, long heardMillisAgo) {
      return new AppliedRelease(
          heartbeat.name(), heartbeat.releaseRevision(), heartbeat.nextOffset(), heardMillisAgo);
    }
  }

  @Inject
  public ReleaseStatusRoute(ClusterService cluster, InstantSource clock) {
    this.cluster = cluster;
    this.clock = clock;
  }

  @Override
  public String method() {
    return "GET";
  }

  @Override
  public String path() {
    return "/release/status";
  }

  @Override
  public Either<Failure, ?> handle(OperatorRequest request) {
    long nowMillis = clock.millis();
    Stream<AppliedRelease> own = Stream.of(AppliedRelease.of(cluster.heartbeat(nowMillis), 0));
    Stream<AppliedRelease> peers = cluster.peers().stream().map(heard -> applied(heard, nowMillis));
    List<AppliedRelease> all =
        Stream.concat(own, peers)
            .sorted((left, right) -> left.name().compareTo(right.name()))
            .toList();
    return Either.right(all);
  }

  private static AppliedRelease applied(PeerView.ReceivedHeartbeat heard, long nowMillis) {
    return AppliedRelease.of(heard.heartbeat(), Math.max(0, nowMillis - heard.aliveMillis()));
  }
}
