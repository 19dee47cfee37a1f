package org.persimmonloom.runtime.entry;

import java.io.IOException;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.runtime.caller.CallerListener;
import org.persimmonloom.runtime.caller.PeerLeavingReports;
import org.persimmonloom.runtime.caller.RequestService;
import org.persimmonloom.runtime.caller.RequestTimer;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.fleet.CapacityController;
import org.persimmonloom.runtime.fleet.HostListWatcher;
import org.persimmonloom.runtime.fleet.WaveController;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.SnapshotWriter;
import org.persimmonloom.runtime.operator.OperatorListener;
import org.persimmonloom.runtime.peer.ClusterView;
import org.persimmonloom.runtime.peer.PeerMesh;
import org.persimmonloom.runtime.settings.EntrySettings;
import org.persimmonloom.runtime.worker.JobController;

/**
 * One entry host: starts its services in order of need and stops them in reverse.
 *
 * <p>A planned stop interrupts no request: the readiness check fails first, the listener stays open
 * while the balancer notices, requests in progress finish, and their claims are settled. Only at
 * the stop deadline or on a second signal are the remaining requests ended and settled as unknown.
 */
@Singleton
public final class EntryHostService {
  private static final Logger LOGGER = LogManager.getLogger(EntryHostService.class);

  /** Bounds the wait for the last settlements when nothing else is waited for any more. */
  private static final long LAST_SETTLEMENTS_MILLIS = 2_000;

  private final LogFollower follower;
  private final GroupCommitter committer;
  private final PeerMesh mesh;
  private final SnapshotWriter snapshots;
  private final HostListWatcher hostList;
  private final JobController jobs;
  private final WaveController waves;
  private final CapacityController capacity;
  private final OperatorListener operators;
  private final CallerListener callers;
  private final RequestService requests;
  private final RequestTimer timer;
  private final EndpointClient endpoints;
  private final Proposer proposer;
  private final EntrySettings settings;
  private final PlannedStop plannedStop;
  private final InstantSource clock;

  @Inject
  public EntryHostService(
      LogFollower follower,
      GroupCommitter committer,
      PeerMesh mesh,
      SnapshotWriter snapshots,
      HostListWatcher hostList,
      JobController jobs,
      WaveController waves,
      CapacityController capacity,
      OperatorListener operators,
      CallerListener callers,
      RequestService requests,
      RequestTimer timer,
      EndpointClient endpoints,
      Proposer proposer,
      EntrySettings settings,
      PlannedStop plannedStop,
      ClusterView cluster,
      PeerLeavingReports leavingReports,
      InstantSource clock) {
    this.follower = follower;
    this.committer = committer;
    this.mesh = mesh;
    this.snapshots = snapshots;
    this.hostList = hostList;
    this.jobs = jobs;
    this.waves = waves;
    this.capacity = capacity;
    this.operators = operators;
    this.callers = callers;
    this.requests = requests;
    this.timer = timer;
    this.endpoints = endpoints;
    this.proposer = proposer;
    this.settings = settings;
    this.plannedStop = plannedStop;
    this.clock = clock;
    cluster.addListener(leavingReports);
  }

  /** Starts all services. */
  public void start() throws IOException {
    mesh.start();
    follower.start();
    committer.start();
    hostList.start();
    requests.start(endpoints);
    jobs.start();
    waves.start();
    capacity.start();
    operators.start();
    callers.start();
  }

  /** Ends the waiting of a stop in progress: what is left is settled as unknown. */
  public void hurry() {
    plannedStop.hurry();
  }

  /**
   * Performs a planned stop and returns when all services have stopped. Only the first call acts.
   */
  public void stop() throws InterruptedException {
    if (!plannedStop.begin()) {
      return;
    }
    LOGGER.info("planned stop begun");
    long deadlineMillis = clock.millis() + settings.stopDeadlineMillis();
    plannedStop.pause(Math.min(settings.balancerDelayMillis(), settings.stopDeadlineMillis()));
    requests.refuseNew();
    if (!plannedStop.await(requests.whenIdle(), deadlineMillis - clock.millis())) {
      LOGGER.warn("requests left at the end of the planned stop are settled as unknown");
      requests.endAll();
    }
    settle(deadlineMillis);
    callers.stop();
    operators.stop();
    jobs.stop();
    capacity.stop();
    waves.stop();
    hostList.stop();
    timer.stop();
    snapshots.stop();
    committer.stop();
    follower.stop();
    mesh.stop();
    LOGGER.info("planned stop done");
  }

  /** Waits for the fold to decide the last settlements, then ends this incarnation. */
  private void settle(long deadlineMillis) throws InterruptedException {
    long waitMillis = Math.max(LAST_SETTLEMENTS_MILLIS, deadlineMillis - clock.millis());
    if (!awaitUnhurried(requests.whenSettled(), waitMillis)) {
      LOGGER.warn("claims left without settlement; the fold settles them as unknown");
    }
    awaitUnhurried(proposer.propose(List.of(new EntryHostLeft())), LAST_SETTLEMENTS_MILLIS);
  }

  /** A second signal must not skip the settlements, so it only shortens this wait. */
  private boolean awaitUnhurried(CompletableFuture<?> future, long waitMillis)
      throws InterruptedException {
    if (plannedStop.await(future, waitMillis)) {
      return true;
    }
    try {
      future.get(LAST_SETTLEMENTS_MILLIS, TimeUnit.MILLISECONDS);
      return true;
    } catch (TimeoutException | ExecutionException e) {
      return false;
    }
  }
}
