package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.persimmonloom.core.scheduling.CallResult;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.HoldOrder;
import org.persimmonloom.core.scheduling.LeaseHolderBatch;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.ProgressBatch;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.core.scheduling.steps.StepModelHost.Lane;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;

/**
 * One term of an owner with a real scheduler, as in {@code OwnerSession}, {@code ProgressRecorder}
 * and {@code OwnerPermission}. A pass consists of stages, between which the process may stand
 * still. Not thread-safe.
 */
final class StepModelSession {
  private static final long PASS_DELAY_MILLIS = 4;
  private static final long PASS_INTERVAL_MILLIS = 100;
  private static final long RECORD_INTERVAL_MILLIS = 25;
  private static final long WORKERS_PAUSE_MILLIS = 80;
  private static final long READ_LIMIT_MILLIS = 1_000;
  private static final long LIST_INTERVAL_MILLIS = 1_000;
  private static final long RETRY_MILLIS = 50;
  private static final int MAX_STARTS = 128;

  private final StepModel model;
  private final StepModelHost host;
  private final StepModelElection election;
  private final long fence;
  private final StepModelWriter writer;
  private final StepModelChannels channels;
  private final Deque<Runnable> stages = new ArrayDeque<>();
  private final Set<String> inHold = new HashSet<>();
  private FleetScheduler scheduler;
  private boolean isStopped;
  private boolean isEnded;
  private boolean isObserving;
  private boolean isPassPending;
  private boolean isRecordingProgress;
  private boolean isRecordingHolders;
  private long lastRecordMillis;
  private long workersVersion = -1;
  private String route = "";

  StepModelSession(StepModel model, StepModelHost host, StepModelElection election, long fence) {
    this.model = model;
    this.host = host;
    this.election = election;
    this.fence = fence;
    writer = new StepModelWriter(model, host, fence);
    channels = new StepModelChannels(model, host, this, fence);
  }

  void start() {
    writer.append(
        List.of(new WorkflowRecords().takeover(fence)),
        result -> inLoop(() -> takeoverWritten(result)));
  }

  void stop() {
    isEnded = true;
    isStopped = true;
    isObserving = false;
    writer.stop();
  }

  boolean isObserving() {
    return isObserving;
  }

  /** Runs an action on the loop, after the stages that a pause has interrupted. */
  void inLoop(Runnable action) {
    host.run(
        Lane.LOOP,
        0,
        () -> {
          runStages();
          if (!isStopped) {
            action.run();
          }
        });
  }

  private void post(Runnable change) {
    inLoop(
        () -> {
          change.run();
          requestPass();
        });
  }

  private void repeat(long interval, Runnable action) {
    host.run(
        Lane.LOOP,
        interval,
        () -> {
          runStages();
          if (!isStopped) {
            action.run();
            repeat(interval, action);
          }
        });
  }

  private void takeoverWritten(StepModelStore.Append result) {
    if (result == StepModelStore.Append.WRITTEN) {
      loadTables();
    } else {
      election.stepDown(fence);
    }
  }

  private void loadTables() {
    if (isStopped) {
      return;
    }
    if (!host.isLoaded()) {
      host.run(Lane.LOOP, RETRY_MILLIS, this::loadTables);
      return;
    }
    long from = host.nextOffset();
    host.callStore(
        Lane.LOOP,
        READ_LIMIT_MILLIS,
        () -> model.store().read(from),
        read -> {
          if (read == null || isStopped) {
            host.run(Lane.LOOP, RETRY_MILLIS, this::loadTables);
            return;
          }
          host.applyRead(read);
          long now = model.now();
          scheduler =
              new FleetScheduler(StepModel.SETTINGS, host.nextOffset(), now, Long.MAX_VALUE);
          scheduler.setRunListener(new StepModelRunLog(model, host.number, fence));
          scheduler.leaseHoldersLoaded(host.leaseHolders());
          host.run(Lane.LOOP, model.noise(30, "machines"), this::startDeciding);
        });
  }

  private void startDeciding() {
    if (isStopped) {
      return;
    }
    configure();
    isObserving = true;
    host.passAll(this);
    followWorkers();
    host.run(Lane.LOOP, 1, this::listMachines);
    repeat(PASS_INTERVAL_MILLIS, this::pass);
    model.trace("host %d decides with fence %d", host.number, fence);
  }

  private void configure() {
    if (!route.equals(model.route())) {
      route = model.route();
      scheduler.configure(model.policies(), StepModel.SERVICES, Set.of(), model.reroutedQueues());
    }
  }

  void workflowChanged(WorkflowEntry entry, boolean isBacklog) {
    WorkflowEntry copy = entry.copy();
    post(() -> scheduler.workflowChanged(copy, model.now(), model.wall(), isBacklog));
  }

  void takeoverRead(long newFence) {
    inLoop(
        () -> {
          if (newFence > fence) {
            isEnded = true;
            election.stepDown(fence);
          }
        });
  }

  private void followWorkers() {
    if (isStopped) {
      return;
    }
    if (model.store().workers().version() == workersVersion) {
      host.run(Lane.FOLLOWER, WORKERS_PAUSE_MILLIS, this::followWorkers);
      return;
    }
    host.callStore(
        Lane.FOLLOWER,
        READ_LIMIT_MILLIS,
        () -> model.store().workers(),
        listed -> {
          if (isStopped) {
            return;
          }
          if (listed != null && listed.version() != workersVersion) {
            workersVersion = listed.version();
            post(() -> scheduler.workersListed(listed.workers(), model.now()));
          }
          host.run(Lane.FOLLOWER, WORKERS_PAUSE_MILLIS, this::followWorkers);
        });
  }

  private void listMachines() {
    if (isStopped) {
      return;
    }
    if (!scheduler.machines().canListMachines()) {
      host.run(Lane.LOOP, RETRY_MILLIS, this::listMachines);
      return;
    }
    long sent = model.now();
    int caller = host.life();
    model.listMachines(
        listed ->
            host.runIn(
                caller,
                Lane.LOOP,
                0,
                () -> {
                  runStages();
                  if (!isStopped && model.now() - sent <= READ_LIMIT_MILLIS) {
                    scheduler.machines().machinesListed(listed, sent, model.now());
                    requestPass();
                  }
                }));
    host.run(Lane.LOOP, LIST_INTERVAL_MILLIS, this::listMachines);
  }

  void requestPass() {
    if (!isPassPending) {
      isPassPending = true;
      host.run(
          Lane.LOOP,
          PASS_DELAY_MILLIS,
          () -> {
            runStages();
            if (!isStopped) {
              pass();
            }
          });
    }
  }

  boolean mayOrderWorkers() {
    return !isEnded && election.renewalAge(fence) < StepModel.SETTINGS.ownerRenewalTimeoutMillis();
  }

  private boolean mayStartTasks() {
    return !isEnded && election.renewalAge(fence) < StepModelElection.CLAIM_AFTER_MILLIS;
  }

  private void pass() {
    isPassPending = false;
    configure();
    if (!mayOrderWorkers()) {
      return;
    }
    long now = model.now();
    List<Order> orders = scheduler.decide(now, model.wall(), mayStartTasks() ? MAX_STARTS : 0);
    for (Order order : orders) {
      stages.add(() -> channels.send(order));
    }
    stages.add(
        () -> {
          for (HoldOrder hold : scheduler.dueHolds(inHold, now)) {
            stages.add(() -> sendHold(hold));
          }
          stages.add(() -> record(now));
        });
    runStages();
  }

  /** Runs the stages of a pass, unless the process is to stand still between two of them. */
  private void runStages() {
    while (!stages.isEmpty()) {
      if (model.takeFreezeInPass(host, stages.size())) {
        inLoop(() -> {});
        return;
      }
      stages.remove().run();
    }
  }

  /** Runs an action as the next stage. */
  void nextStage(Runnable action) {
    stages.addFirst(action);
    inLoop(() -> {});
  }

  private void record(long now) {
    if (isStopped) {
      return;
    }
    if (!isRecordingHolders) {
      LeaseHolderBatch batch = scheduler.takeLeaseHolders();
      if (!batch.records().isEmpty()) {
        isRecordingHolders = true;
        writer.append(batch.records(), result -> post(() -> holdersWritten(batch, result)));
      }
    }
    if (!isRecordingProgress && now - lastRecordMillis >= RECORD_INTERVAL_MILLIS) {
      ProgressBatch batch = scheduler.takeProgress(model.wall());
      if (batch.isEmpty()) {
        return;
      }
      lastRecordMillis = now;
      if (batch.records().isEmpty()) {
        scheduler.progressRecorded(batch);
        return;
      }
      isRecordingProgress = true;
      writer.append(batch.records(), result -> post(() -> progressWritten(batch, result)));
    }
  }

  private void holdersWritten(LeaseHolderBatch batch, StepModelStore.Append result) {
    isRecordingHolders = false;
    if (result == StepModelStore.Append.WRITTEN) {
      scheduler.leaseHoldersRecorded(batch);
    } else {
      election.stepDown(fence);
    }
  }

  private void progressWritten(ProgressBatch batch, StepModelStore.Append result) {
    isRecordingProgress = false;
    if (result == StepModelStore.Append.WRITTEN) {
      scheduler.progressRecorded(batch);
    } else {
      election.stepDown(fence);
    }
  }

  boolean isStillValid(Order order) {
    if (!(order instanceof Order.Start ? mayStartTasks() : mayOrderWorkers())) {
      scheduler.withdraw(order, model.now());
      return false;
    }
    return scheduler.isStillValid(order, model.now());
  }

  void orderAnswered(Order order, CallResult result) {
    if (result != CallResult.ACCEPTED) {
      model.trace(
          "host %d fence %d: %s %s run %d on %s: %s",
          host.number,
          fence,
          order.getClass().getSimpleName(),
          order.task(),
          order.run(),
          order.worker().id(),
          result);
    }
    if (result == CallResult.FENCED) {
      election.stepDown(fence);
      return;
    }
    scheduler.orderAnswered(order, result, model.now());
    requestPass();
  }

  private void sendHold(HoldOrder hold) {
    if (isStopped || !mayOrderWorkers()) {
      return;
    }
    inHold.add(hold.worker().id());
    channels.hold(hold);
  }

  void holdAnswered(HoldOrder hold, long sentMillis, CallResult result, WorkerReport report) {
    inHold.remove(hold.worker().id());
    if (result == CallResult.FENCED) {
      election.stepDown(fence);
      return;
    }
    if (result == CallResult.ACCEPTED) {
      scheduler.workerReported(hold.worker(), sentMillis, report, model.now());
    } else {
      model.trace(
          "host %d fence %d: hold of %s: %s", host.number, fence, hold.worker().id(), result);
      scheduler.holdFailed(hold.worker(), result, model.now());
    }
    requestPass();
  }
}
