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
 * Carries out decisions about worker hosts for one term of ownership: reads the platform's list,
 * sends orders and records the progress of waves. Confined to the owner's loop.
 */
final class MachineOperations {
  private static final Logger LOG = LogManager.getLogger(MachineOperations.class);
  private static final String PRODUCER = "fleet-owner";

  /** The list is read this often, and sooner after an order, in ms. */
  private static final long LIST_MILLIS = 1_000;

  private static final long LIST_AFTER_ORDER_MILLIS = 300;
  private static final long DECIDE_MILLIS = 100;

  private final FleetServices services;
  private final long fence;
  private final MachineScheduler scheduler;
  private final Executor calls;
  private final Executor loop;
  private final Runnable stepDown;
  private final TableWriter progressWriter;
  private final TableWriter statusWriter;
  private final Codec codec = new Codec(Map.of());
  private final Map<Integer, WaveProgress> recorded = new HashMap<>();
  private boolean isListing;
  private long nextListMillis;
  private long nextDecisionMillis;

  MachineOperations(
      FleetServices services,
      long fence,
      MachineScheduler scheduler,
      Executor calls,
      Executor loop,
      Runnable stepDown) {
    this.services = services;
    this.fence = fence;
    this.scheduler = scheduler;
    this.calls = calls;
    this.loop = loop;
    this.stepDown = stepDown;
    progressWriter = writer(Table.MAINTENANCE);
    statusWriter = writer(Table.STATUS);
  }

  private TableWriter writer(Table table) {
    return new TableWriter(
        services.log(), table, PRODUCER, fence, services.metrics(), services.clock());
  }

  /** Takes over what earlier owners recorded; returns false if it could not be read. */
  boolean start() {
    LogReadResult result = services.log().readNewest(Table.MAINTENANCE);
    if (!(result instanceof LogReadResult.Records records)) {
      return false;
    }
    for (StoredRecord stored : records.records()) {
      codec
          .decode(stored.record().value(), WaveProgress.class)
          .peek(progress -> recorded.put(progress.number(), progress))
          .peekLeft(failure -> LOG.warn("event=wave_progress_unreadable cause={}", failure));
    }
    progressWriter.start();
    statusWriter.start();
    return true;
  }

  void stop() {
    progressWriter.stop();
    statusWriter.stop();
  }

  void wavesChanged() {
    for (WaveOrder wave : services.operations().waves()) {
      scheduler.waveOrdered(wave, recorded.get(wave.number()));
    }
  }

  /** Reads the list and decides when each is due; orders about tasks go to {@code tasks}. */
  void pass(long nowMillis, long wallMillis, List<Order> tasks) {
    if (!isListing && nowMillis >= nextListMillis && scheduler.canListMachines()) {
      isListing = true;
      calls.execute(
          () -> {
            Optional<List<MachineFacts>> listed = services.machines().list();
            loop.execute(() -> listed(listed));
          });
    }
    if (nowMillis >= nextDecisionMillis) {
      nextDecisionMillis = nowMillis + DECIDE_MILLIS;
      scheduler.decide(tasks, nowMillis, wallMillis).forEach(this::send);
      recordWaves();
    }
  }

  private void listed(Optional<List<MachineFacts>> listed) {
    isListing = false;
    nextListMillis = services.clock().getAsLong() + LIST_MILLIS;
    listed.ifPresent(scheduler::machinesListed);
  }

  private void send(MachineOrder order) {
    calls.execute(
        () -> {
          MachineOrder.Result result = services.machines().send(order, services.hostName(), fence);
          loop.execute(() -> answered(order, result));
        });
  }

  private void answered(MachineOrder order, MachineOrder.Result result) {
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
    nextListMillis = Math.min(nextListMillis, now + LIST_AFTER_ORDER_MILLIS);
  }

  private void recordWaves() {
    List<WaveProgress> changes = new ArrayList<>(scheduler.takeWaveChanges());
    for (WaveProgress progress : changes) {
      recorded.put(progress.number(), progress);
      TableRecord own =
          new TableRecord(Integer.toString(progress.number()), codec.encode(progress));
      progressWriter.append(List.of(own), Long.MAX_VALUE);
      statusWriter.append(List.of(services.decoder().waveStatus(progress)), Long.MAX_VALUE);
    }
  }
}
