package org.persimmonloom.runtime.workflow;

import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.SchedulingSettings;

/**
 * The workflow part of an entry host: replicas, submissions, and the fleet's ownership while this
 * host holds it. Start and stop once; the other methods are safe for any thread.
 */
public final class WorkflowHost {
  private static final Logger LOG = LogManager.getLogger(WorkflowHost.class);

  /** Wait time of a read of the workflow table. */
  private static final int WORKFLOWS_READ_WAIT_MILLIS = 1_000;

  /** Wait time of a read of the host table, which rarely changes. */
  private static final int HOSTS_READ_WAIT_MILLIS = 5_000;

  private static final long PLACEMENT_CHECK_INTERVAL_MILLIS = 1_000;

  private final ConfigurationService configuration;
  private final TableFollower workflowFollower;
  private final TableWriter writer;
  private final TableFollower hostFollower;
  private final TableWriter hostWriter;
  private final PeerServer peerServer;
  private final SubmissionService submissions;
  private final HostDirectory hosts;
  private final HostRecord registration;
  private final OwnershipPlacement placement;
  private final ScheduledExecutorService placementLoop;
  private final Ownership ownership;
  private final FleetServices services;
  private final WorkflowMetrics metrics = new WorkflowMetrics();
  private final LongSupplier clock;
  private volatile boolean isStopping;
  private OwnerSession session;

  /**
   * Creates the host.
   *
   * @param name name of this host
   * @param incarnation start time of this process, which distinguishes restarts
   * @param processors processor time that this host may use, in cores
   * @param clock monotonic clock in milliseconds
   */
  public WorkflowHost(
      String name,
      long incarnation,
      KeyedLog log,
      WorkerGateway gateway,
      MachineService machines,
      PlacementPolicyService placementPolicy,
      PlatformDecoder decoder,
      SchedulingSettings scheduling,
      PeerClient peers,
      InetSocketAddress peerAddress,
      double processors,
      LongSupplier clock) {
    this.clock = clock;
    registration =
        new HostRecord(peerAddress.getHostString() + ':' + peerAddress.getPort(), processors);
    LongSupplier replicaClock = new SuspensionAwareClock(clock, InstantSource.system());
    WorkflowReplica workflows = new WorkflowReplica();
    workflowFollower = workflowFollower(log, workflows, replicaClock);
    writer = new TableWriter(log, Table.WORKFLOWS, name + '-' + incarnation, 1, metrics, clock);
    hosts = new HostDirectory(name);
    configuration = new ConfigurationService(log, decoder, peers, hosts, metrics, replicaClock);
    placement = new OwnershipPlacement(hosts, processors, peers::mayClaim);
    placementLoop =
        Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("ownership-placement"));
    hostFollower = new TableFollower(log, Table.HOSTS, hosts, clock, HOSTS_READ_WAIT_MILLIS, 0);
    hostWriter = new TableWriter(log, Table.HOSTS, name + '-' + incarnation, 1, metrics, clock);
    submissions =
        new SubmissionService(
            workflows,
            workflowFollower,
            writer,
            peers,
            hosts,
            SubmissionLimits.DEFAULT,
            metrics,
            clock);
    peerServer =
        new PeerServer(
            log,
            submissions,
            configuration.verifier(),
            writer,
            metrics,
            this::mayClaim,
            clock,
            peerAddress);
    ownership =
        new Ownership(
            new OwnershipTable(log, new PeerOwnershipRelay(peers, hosts)),
            name,
            incarnation,
            clock,
            InstantSource.system(),
            placement::claimDelayMillis,
            new TermListener());
    services =
        new FleetServices(
            name,
            log,
            gateway,
            machines,
            placementPolicy,
            decoder,
            workflows,
            workflowFollower,
            configuration.operations(),
            scheduling,
            metrics,
            clock,
            InstantSource.system());
  }

  private static TableFollower workflowFollower(
      KeyedLog log, WorkflowReplica workflows, LongSupplier clock) {
    return new TableFollower(
        log,
        Table.WORKFLOWS,
        workflows,
        clock,
        WORKFLOWS_READ_WAIT_MILLIS,
        FleetServices.FOLLOWER_PAUSE_MILLIS);
  }

  /** Starts reading the platform's log. */
  public void start() {
    configuration.start();
    workflowFollower.start();
    writer.start();
    hostFollower.start();
    hostWriter.start();
    peerServer.start();
    hostWriter.append(List.of(hosts.registration(registration)), Long.MAX_VALUE);
    ownership.setMayClaim(this::canDecide);
    ownership.start();
    placementLoop.scheduleWithFixedDelay(
        this::checkPlacement,
        PLACEMENT_CHECK_INTERVAL_MILLIS,
        PLACEMENT_CHECK_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void checkPlacement() {
    try {
      if (!ownership.isOwner()) {
        return;
      }
      long ageMillis = workflowFollower.ageMillis();
      if (placement.shouldHandOver(clock.getAsLong())) {
        LOG.info("event=ownership_handed_over processors={}", registration.processors());
        ownership.handOver();
      } else if (placement.shouldHandOverOldTable(ageMillis)) {
        LOG.info("event=ownership_handed_over cause=workflows_old age_ms={}", ageMillis);
        ownership.handOver();
      }
    } catch (RuntimeException e) {
      LOG.error("event=placement_failed", e);
    }
  }

  private boolean mayClaim() {
    return !isStopping && submissions.isCurrent();
  }

  /** Returns whether this host could decide as the owner; reads the workflows if they are old. */
  private boolean canDecide() {
    return submissions.isCurrent() || workflowFollower.refresh();
  }

  /**
   * Marks this host as not ready and releases the ownership; requests are still served. Workers
   * keep reporting ended runs that are not recorded yet, so the next owner receives them.
   */
  public void prepareStop() throws InterruptedException {
    isStopping = true;
    placementLoop.shutdownNow();
    hostWriter.append(List.of(hosts.removal()), clock.getAsLong());
    ownership.stop();
  }

  /** Stops reading and writing. */
  public void stop() {
    configuration.stop();
    workflowFollower.stop();
    writer.stop();
    hostFollower.stop();
    hostWriter.stop();
    peerServer.stop();
    submissions.stop();
  }

  /** Returns whether this host is ready for new connections. */
  public boolean isReady() {
    return !isStopping && configuration.isReady() && submissions.isCurrent();
  }

  /** Returns the configuration in force; empty before the first one is read. */
  public Optional<FleetConfiguration> configuration() {
    return configuration.operations().configuration();
  }

  /** Returns the finder of the routes of requests. */
  public RequestRouter router() {
    return configuration.router();
  }

  /** Returns the service for submissions, cancellations and workflow states. */
  public SubmissionService submissions() {
    return submissions;
  }

  private synchronized void beginTerm(OwnershipTerm term) {
    session =
        new OwnerSession(
            term,
            services,
            () -> ownership.stepDown(term.fence()),
            () -> ownership.renewalAgeMillis(term.fence()));
    session.start();
    metrics.fence.set(term.fence());
  }

  private synchronized void endTerm() {
    if (session != null) {
      metrics.fence.set(0);
      metrics.workflowsAgeSeconds.set(0);
      metrics.renewalAgeSeconds.set(0);
      session.stop();
      session = null;
      LOG.info("event=term_ended host_is_stopping={}", isStopping);
    }
  }

  /** Runs the session of a term while this host owns the fleet. */
  private final class TermListener implements Ownership.Listener {
    @Override
    public void ownershipGained(OwnershipTerm term) {
      beginTerm(term);
    }

    @Override
    public void ownershipLost() {
      endTerm();
    }
  }

  /** Returns a monotonic clock in milliseconds. */
  public static LongSupplier steadyClock() {
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
