package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.MachineOrder;
import org.persimmonloom.core.scheduling.MachineScheduler;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Executes decisions about worker hosts during one term of ownership: reads the platform's list of
 * hosts, sends orders and records the progress of maintenance waves. Confined to the owner's loop.
 */
final class MachineOperations {
  private static final Logger LOG = LogManager.getLogger(MachineOperations.class);
  private static final String PRODUCER = "fleet-owner";

  /**
   * Delay between two reads of the list of hosts; {@link #LIST_DELAY_AFTER_ORDER_MILLIS} applies
   * after an order.
   */
  private static final long LIST_INTERVAL_MILLIS = 1_000;

  private static final long LIST_DELAY_AFTER_ORDER_MILLIS = 300;
  private static final long DECISION_INTERVAL_MILLIS = 100;

  /** An order whose announcement takes longer rests on an outdated decision and is not sent. */
  private static final long MAX_ANNOUNCEMENT_MILLIS = 1_000;

  private final FleetServices services;
  private final long fence;
  private final MachineScheduler scheduler;
  private final Executor callExecutor;
  private final Executor loopExecutor;
  private final Runnable stepDown;
  private final HostOrderAnnouncements announcements;
  private final HostOrderGate gate;
  private final TableWriter progressWriter;
  private final TableWriter statusWriter;
  private final Codec codec = new Codec(Map.of());
  private final Map<Integer, WaveProgress> recordedProgress = new HashMap<>();
  private boolean isListInFlight;
  private long nextListMillis;
  private long nextDecisionMillis;

  MachineOperations(
      FleetServices services,
      long fence,
      MachineScheduler scheduler,
      Executor callExecutor,
      Executor loopExecutor,
      Runnable stepDown,
      HostOrderAnnouncements announcements,
      HostOrderGate gate) {
    this.services = services;
    this.fence = fence;
    this.scheduler = scheduler;
    this.callExecutor = callExecutor;
    this.loopExecutor = loopExecutor;
    this.stepDown = stepDown;
    this.announcements = announcements;
    this.gate = gate;
    progressWriter = newWriter(Table.MAINTENANCE);
    statusWriter = newWriter(Table.STATUS);
  }

  private TableWriter newWriter(Table table) {
    return new TableWriter(
        services.log(), table, PRODUCER, fence, services.metrics(), services.clock());
  }

  /**
   * Loads the progress and the announcements recorded by earlier owners; returns false if a read
   * fails.
   *
   * @param previousFence fence of the previous owner
   */
  boolean start(long previousFence) {
    LogReadResult result = services.log().readNewest(Table.MAINTENANCE);
    Optional<HostOrdersRecord> earlier = announcements.takeOver(services.clock().getAsLong());
    if (!(result instanceof LogReadResult.Records records) || earlier.isEmpty()) {
      return false;
    }
    if (earlier.get().fence() == previousFence) {
      scheduler.earlierOrdersKnown(earlier.get().hosts());
    }
    LOG.info(
        "event=earlier_host_orders fence={} previous={} announced={} hosts={}",
        fence,
        previousFence,
        earlier.get().fence(),
        earlier.get().hosts().size());
    for (StoredRecord stored : records.records()) {
      codec
          .decode(stored.record().value(), WaveProgress.class)
          .peek(progress -> recordedProgress.put(progress.number(), progress))
          .peekLeft(failure -> LOG.warn("event=wave_progress_unreadable cause={}", failure));
    }
    progressWriter.start();
    statusWriter.start();
    return true;
  }

  void stop() {
    announcements.stop();
    progressWriter.stop();
    statusWriter.stop();
  }

  void applyWaveOrders() {
    for (WaveOrder wave : services.operations().waves()) {
      scheduler.waveOrdered(wave, recordedProgress.get(wave.number()));
    }
  }

  /**
   * Reads the list of hosts and makes decisions, each at its interval; adds orders about tasks to
   * {@code taskOrders}.
   */
  void pass(long nowMillis, long wallMillis, List<Order> taskOrders) {
    if (!isListInFlight && nowMillis >= nextListMillis && scheduler.canListMachines()) {
      isListInFlight = true;
      callExecutor.execute(
          () -> {
            Optional<List<MachineFacts>> listed =
                PlatformCalls.resultOr(
                    Optional.empty(), "machine list", () -> services.machines().list());
            loopExecutor.execute(() -> handleList(listed, nowMillis));
          });
    }
    if (nowMillis >= nextDecisionMillis) {
      nextDecisionMillis = nowMillis + DECISION_INTERVAL_MILLIS;
      List<MachineOrder> orders = scheduler.decide(taskOrders, nowMillis, wallMillis);
      if (!orders.isEmpty()) {
        announce(orders, nowMillis);
      }
      recordWaveProgress();
    }
  }

  private void handleList(Optional<List<MachineFacts>> listed, long sentMillis) {
    long now = services.clock().getAsLong();
    isListInFlight = false;
    nextListMillis = now + LIST_INTERVAL_MILLIS;
    listed.ifPresent(machines -> scheduler.machinesListed(machines, sentMillis, now));
  }

  private void announce(List<MachineOrder> orders, long nowMillis) {
    announcements
        .announce(orders.stream().map(MachineOrder::machine).toList(), nowMillis)
        .thenAccept(
            outcome -> loopExecutor.execute(() -> handleAnnounced(orders, outcome, nowMillis)));
  }

  private void handleAnnounced(
      List<MachineOrder> orders, TableWriter.Outcome outcome, long decidedMillis) {
    if (outcome != TableWriter.Outcome.WRITTEN) {
      stepDown.run();
      return;
    }
    boolean isOutdated = services.clock().getAsLong() - decidedMillis > MAX_ANNOUNCEMENT_MILLIS;
    for (MachineOrder order : orders) {
      if (isOutdated) {
        handleResult(order, MachineOrder.Result.TRY_LATER);
      } else {
        send(order);
      }
    }
  }

  private void send(MachineOrder order) {
    callExecutor.execute(
        () -> {
          MachineOrder.Result result = gate.send(() -> call(order), MachineOrder.Result.TRY_LATER);
          loopExecutor.execute(() -> handleResult(order, result));
        });
  }

  /** Sends an order; after an exception it may have taken effect. */
  private MachineOrder.Result call(MachineOrder order) {
    return PlatformCalls.resultOr(
        MachineOrder.Result.UNKNOWN,
        "machine order",
        () -> services.machines().send(order, services.hostName(), fence));
  }

  private void handleResult(MachineOrder order, MachineOrder.Result result) {
    LOG.info("event=machine_order order={} fence={} result={}", order, fence, result);
    services
        .metrics()
        .machineOrders
        .labelValues(order.getClass().getSimpleName(), result.name())
        .inc();
    if (result == MachineOrder.Result.FENCED) {
      stepDown.run();
      return;
    }
    long now = services.clock().getAsLong();
    scheduler.orderAnswered(order, result, now);
    nextListMillis = Math.min(nextListMillis, now + LIST_DELAY_AFTER_ORDER_MILLIS);
  }

  private void recordWaveProgress() {
    List<WaveProgress> changes = new ArrayList<>(scheduler.takeWaveChanges());
    for (WaveProgress progress : changes) {
      recordedProgress.put(progress.number(), progress);
      TableRecord ownRecord =
          new TableRecord(Integer.toString(progress.number()), codec.encode(progress));
      progressWriter.append(List.of(ownRecord), Long.MAX_VALUE);
      statusWriter.append(List.of(services.decoder().waveStatus(progress)), Long.MAX_VALUE);
    }
  }
}
