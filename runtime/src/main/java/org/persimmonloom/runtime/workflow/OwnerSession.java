package org.persimmonloom.runtime.workflow;

import java.time.InstantSource;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.PermitRequest;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;

/**
 * One term of ownership: passes changes to the scheduler and executes its decisions.
 *
 * <p>All decisions run on the owner loop; blocking calls run on other threads and post their
 * results to it. Start and stop are safe for any thread.
 */
final class OwnerSession {
  private static final Logger LOG = LogManager.getLogger(OwnerSession.class);

  /** Delay of a pass after a change, which batches changes that arrive close together. */
  private static final long PASS_DELAY_MILLIS = 4;

  private static final long PASS_INTERVAL_MILLIS = 100;

  /** Twice the orders in progress, so that the channels do not run empty between two passes. */
  private static final int MAX_UNSENT_ORDERS = 2 * WorkerChannels.MAX_ORDERS_IN_PROGRESS;

  /** Time for the answers to the last orders about hosts at the end of a term. */
  private static final long HOST_ORDERS_STOP_WAIT_MILLIS = 300;

  private static final long SUMMARY_INTERVAL_MILLIS = 1_000;
  private static final long TAKEOVER_RETRY_MILLIS = 50;

  private static final String PRODUCER = "fleet-owner";

  private final OwnershipTerm term;
  private final long fence;
  private final FleetServices services;
  private final Runnable stepDown;
  private final OwnerAges ages;
  private final OwnerPermission permission;
  private final HostOrderAnnouncements announcements;
  private final HostOrderGate hostOrderGate;
  private final OwnerLoop loop;
  private final KnownTable knownWorkflows;
  private final KnownTable knownWorkers;
  private final ThreadPoolExecutor callExecutor;
  private final TableWriter writer;
  private final TableFollower workerFollower;
  private final WorkerChannels channels;
  private final OwnerLoad load;
  private final OwnerSummary summary;
  private final RunLog runLog;
  private final PermitRequests permitRequests;
  private final EndedWorkflowRemoval endedWorkflowRemoval;
  private FleetScheduler scheduler;
  private ProgressRecorder progressRecorder;
  private volatile MachineOperations machines;
  private boolean isStopped;
  private boolean isPassPending;

  OwnerSession(
      OwnershipTerm term,
      FleetServices services,
      Runnable stepDown,
      LongSupplier renewalAgeMillis) {
    this.term = term;
    this.services = services;
    this.stepDown = stepDown;
    fence = term.fence();
    load = new OwnerLoad(services.metrics());
    loop = new OwnerLoop(fence, load);
    callExecutor =
        (ThreadPoolExecutor) Executors.newCachedThreadPool(DaemonThreads.named("owner-call"));
    WorkerReplica workers =
        new WorkerReplica(
            services.decoder(), listed -> post(() -> scheduler.workersListed(listed, now())));
    workerFollower = KnownTable.WORKERS.newFollower(services, workers);
    knownWorkflows = known(KnownTable.WORKFLOWS, services.workflowFollower());
    knownWorkers = known(KnownTable.WORKERS, workerFollower);
    LongSupplier workflowsAge = knownWorkflows::ageMillis;
    long renewalTimeoutMillis = services.scheduling().ownerRenewalTimeoutMillis();
    permission =
        new OwnerPermission(
            renewalAgeMillis, workflowsAge, knownWorkers::ageMillis, renewalTimeoutMillis);
    announcements = new HostOrderAnnouncements(services, fence);
    hostOrderGate = new HostOrderGate(permission::mayOrderHosts);
    ages = new OwnerAges(renewalAgeMillis, workflowsAge, services.metrics());
    summary = new OwnerSummary(fence, load, ages);
    runLog = new RunLog(fence, ages, services.metrics());
    permitRequests = new PermitRequests(services.placementPolicy(), callExecutor, services.clock());
    writer =
        new TableWriter(
            services.log(), Table.WORKFLOWS, PRODUCER, fence, services.metrics(), services.clock());
    endedWorkflowRemoval = new EndedWorkflowRemoval(services, writer);
    channels =
        new WorkerChannels(
            services.gateway(), fence, loop::execute, services.clock(), new ChannelListener());
  }

  private KnownTable known(KnownTable.Bounds bounds, TableFollower follower) {
    return new KnownTable(bounds, fence, follower, loop::execute, callExecutor, this::requestPass);
  }

  /** Starts the term without blocking. */
  void start() {
    writer.start();
    writer
        .append(List.of(new WorkflowRecords().takeover(fence)), Long.MAX_VALUE)
        .thenCombine(announcements.start(), (first, second) -> EnumSet.of(first, second))
        .thenAccept(outcomes -> loop.execute(() -> handleTakeoverWritten(outcomes)));
  }

  /**
   * Loads the tables once the first records are written. From then on appends of earlier owners are
   * refused, so none can follow the loading of the tables and be missed.
   */
  private void handleTakeoverWritten(Set<TableWriter.Outcome> outcomes) {
    if (outcomes.equals(Set.of(TableWriter.Outcome.WRITTEN))) {
      loadTables();
    } else {
      stepDown.run();
    }
  }

  /** Ends the term; workers refuse orders still in flight once they have seen a newer fence. */
  void stop() {
    // Before all else: a paused pass goes on while this method waits, and beyond it.
    permission.end();
    synchronized (this) {
      isStopped = true;
      hostOrderGate.close(HOST_ORDERS_STOP_WAIT_MILLIS);
      announcements.stop();
      services.workflows().removeObserver();
      knownWorkflows.stop();
      services.operations().setObserver(() -> {});
      workerFollower.stop();
      if (machines != null) {
        machines.stop();
      }
      loop.stop();
      // Calls in progress end by their own timeouts; their results are discarded.
      callExecutor.shutdown();
      writer.stop();
    }
  }

  /** Loads the state left by earlier owners, with retries, and then starts to decide. */
  private void loadTables() {
    boolean isRead = false;
    try {
      isRead = tryLoadTables();
    } finally {
      if (!isRead) {
        loop.schedule(this::loadTables, TAKEOVER_RETRY_MILLIS);
      }
    }
    if (isRead) {
      startDeciding();
    }
  }

  private boolean tryLoadTables() {
    TableFollower follower = services.workflowFollower();
    if (!follower.refresh() || services.operations().configuration().isEmpty()) {
      return false;
    }
    SchedulingSettings settings = services.scheduling();
    long hostOrderWaitMillis =
        term.isHandedOver()
            ? 0
            : settings.dutyLeaseMillis() - OwnerPermission.MIN_MILLIS_SINCE_EARLIER_HOST_ORDER;
    long hostOrdersFromMillis = now() + Math.max(0, hostOrderWaitMillis);
    scheduler = new FleetScheduler(settings, follower.end(), now(), hostOrdersFromMillis);
    scheduler.setRunListener(runLog);
    scheduler.leaseHoldersLoaded(services.workflows().leaseHolders());
    progressRecorder =
        new ProgressRecorder(
            services,
            scheduler,
            new BatchRecorder<>(
                writer,
                this::post,
                stepDown,
                scheduler::progressRecorded,
                scheduler::progressRejected),
            new BatchRecorder<>(
                writer,
                this::post,
                stepDown,
                scheduler::leaseHoldersRecorded,
                scheduler::leaseHoldersRejected));
    machines =
        new MachineOperations(
            services,
            fence,
            scheduler.machines(),
            callExecutor,
            loop::execute,
            stepDown,
            announcements,
            hostOrderGate);
    return machines.start(term.previousFence());
  }

  /** Starts to decide unless the term has ended; a later one may have set its observers already. */
  private synchronized void startDeciding() {
    if (isStopped) {
      machines.stop();
      return;
    }
    configure();
    services.operations().setObserver(() -> post(this::configure));
    services
        .workflows()
        .setObserver(
            new WorkflowReplica.Observer() {
              @Override
              public void workflowChanged(WorkflowEntry entry, boolean isBacklog) {
                WorkflowEntry copy = entry.copy();
                InstantSource wall = services.wallClock();
                post(() -> scheduler.workflowChanged(copy, now(), wall.millis(), isBacklog));
              }

              @Override
              public void takeoverRead(long newFence) {
                loop.execute(() -> handleTakeover(newFence));
              }
            });
    knownWorkflows.start();
    knownWorkers.start();
    workerFollower.start();
    loop.repeat(this::pass, PASS_INTERVAL_MILLIS);
    loop.repeat(this::logSummary, SUMMARY_INTERVAL_MILLIS);
    LOG.info("event=term_started fence={} end={}", fence, services.workflowFollower().end());
  }

  private void configure() {
    services.operations().configure(scheduler);
    machines.applyWaveOrders();
  }

  /**
   * Sends no more orders once a newer takeover is read: the next owner relies on this for the
   * records that follow its takeover.
   */
  private void handleTakeover(long newFence) {
    if (newFence > fence) {
      permission.end();
      stepDown.run();
    }
  }

  /** Runs a change on the loop and schedules a pass. */
  private void post(Runnable change) {
    loop.execute(
        () -> {
          change.run();
          requestPass();
        });
  }

  private void requestPass() {
    if (!isPassPending) {
      isPassPending = true;
      loop.schedule(this::pass, PASS_DELAY_MILLIS);
    }
  }

  private void logSummary() {
    int calls = callExecutor.getActiveCount() + channels.callsInProgress();
    summary.log(scheduler, calls, channels.queuedCount(), now(), services.wallClock().millis());
  }

  private void pass() {
    long started = System.nanoTime();
    isPassPending = false;
    knownWorkflows.update();
    knownWorkers.update();
    ages.record();
    decideAndSend(now());
    load.recordPass(System.nanoTime() - started);
  }

  /** Withdraws an order that was queued while this owner lost its permission to send it. */
  private boolean isStillPermitted(Order order) {
    boolean isStart = order instanceof Order.Start;
    boolean isPermitted = isStart ? permission.mayStartTasks() : permission.mayOrderWorkers();
    if (!isPermitted) {
      scheduler.withdraw(order, now());
    }
    return isPermitted;
  }

  private void decideAndSend(long now) {
    endedWorkflowRemoval.removeExpired(now);
    if (!permission.mayOrderWorkers()) {
      return;
    }
    long wall = services.wallClock().millis();
    int unsent = channels.backlog();
    int maxStarts = permission.mayStartTasks() ? Math.max(0, MAX_UNSENT_ORDERS - unsent) : 0;
    List<Order> orders = scheduler.decide(now, wall, maxStarts);
    runLog.logOrdered();
    if (permission.mayOrderHosts()) {
      machines.pass(now, wall, orders);
    }
    orders.forEach(channels::send);
    scheduler.nextPermitRequest(now).ifPresent(this::requestPermits);
    for (HoldOrder hold : scheduler.dueHolds(channels.workersInHold(), now)) {
      // The process may have been paused in this pass. A hold that is not sent is repeated.
      if (permission.mayOrderWorkers()) {
        runLog.holdSent(hold);
        channels.hold(hold);
      }
    }
    progressRecorder.record(now);
  }

  private void requestPermits(PermitRequest request) {
    long sent = now();
    permitRequests.send(
        request, granted -> post(() -> scheduler.permitsAnswered(request, granted, sent, now())));
  }

  private void handleOrderAnswer(Order order, CallResult result) {
    services.metrics().orders.labelValues(order.getClass().getSimpleName(), result.name()).inc();
    if (result != CallResult.ACCEPTED) {
      LOG.info(
          "event=order_not_accepted order={} task={} run={} worker={} result={}",
          order.getClass().getSimpleName(),
          order.task(),
          order.run(),
          order.worker().id(),
          result);
    }
    if (result == CallResult.FENCED) {
      stepDown.run();
      return;
    }
    scheduler.orderAnswered(order, result, now());
    requestPass();
  }

  private void handleHoldAnswer(HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer) {
    if (answer.result() == CallResult.ACCEPTED) {
      runLog.reportRead(order.worker().id(), answer.report(), now());
      scheduler.workerReported(order.worker(), sentMillis, answer.report(), now());
    } else if (answer.result() == CallResult.FENCED) {
      stepDown.run();
      return;
    } else {
      LOG.info("event=worker_silent worker={} result={}", order.worker().id(), answer.result());
      scheduler.holdFailed(order.worker(), answer.result(), now());
    }
    requestPass();
  }

  /** Receives the results of calls, on the loop. */
  private final class ChannelListener implements WorkerChannels.Listener {
    @Override
    public boolean isStillValid(Order order) {
      return isStillPermitted(order) && scheduler.isStillValid(order, now());
    }

    @Override
    public void orderSent(Order order, long waitedMillis) {
      load.recordOrderSent(waitedMillis);
    }

    @Override
    public void orderAnswered(Order order, CallResult result) {
      handleOrderAnswer(order, result);
    }

    @Override
    public void holdAnswered(HoldOrder order, long sentMillis, WorkerGateway.HoldAnswer answer) {
      handleHoldAnswer(order, sentMillis, answer);
    }
  }

  private long now() {
    return services.clock().getAsLong();
  }
}
