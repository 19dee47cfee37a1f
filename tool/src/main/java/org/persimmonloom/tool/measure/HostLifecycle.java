package org.persimmonloom.tool.measure;

import java.util.List;
import org.persimmonloom.core.capacity.PaceDecision;
import org.persimmonloom.core.host.HostState;

/**
 * Advances hosts through maintenance and moves, once a second, and takes hosts for the wave. The
 * wave goes through all pools at the same time, rack after rack, at the pace that the plan gives
 * each pool.
 */
final class HostLifecycle {
  private final Fleet fleet;
  private final Dispatcher dispatcher;
  private final FaultPlan faults;
  private long waveEnd = -1;
  private boolean isWaveStarted;
  private int moves;

  HostLifecycle(Fleet fleet, Dispatcher dispatcher, FaultPlan faults) {
    this.fleet = fleet;
    this.dispatcher = dispatcher;
    this.faults = faults;
  }

  int moves() {
    return moves;
  }

  /** Returns when the last host was back from maintenance; negative if the wave has not ended. */
  long waveEnd() {
    return waveEnd;
  }

  boolean startMove(SimHost host, SimPool target, long now) {
    boolean isStarted = fleet.drain(host, SimHost.Purpose.MOVE, target, now);
    if (isStarted) {
      moves++;
    }
    return isStarted;
  }

  void startWave() {
    isWaveStarted = true;
    fleet.hosts().forEach(host -> host.awaitsMaintenance = true);
  }

  boolean isWaveRunning() {
    return isWaveStarted && waveEnd < 0;
  }

  /** Returns whether the wave still has hosts of this pool to maintain. */
  boolean isInWave(SimPool pool) {
    return isWaveRunning() && pool.hosts.stream().anyMatch(HostLifecycle::isOfWave);
  }

  private static boolean isOfWave(SimHost host) {
    return host.awaitsMaintenance || host.purpose == SimHost.Purpose.MAINTENANCE;
  }

  /** Loses a host without notice until {@code until}; what it ran goes back to the queues. */
  void lose(SimHost host, long now, long until) {
    host.lostUntil = until;
    host.purpose = host.target == null ? SimHost.Purpose.NONE : host.purpose;
    host.enter(HostState.LOST, now);
    dispatcher.requeue(host);
  }

  void advance(long now) {
    for (SimHost host : fleet.hosts()) {
      advance(host, now);
    }
    boolean isWaveDone = fleet.hosts().stream().noneMatch(HostLifecycle::isOfWave);
    if (isWaveRunning() && isWaveDone) {
      waveEnd = now;
    }
  }

  private void advance(SimHost host, long now) {
    long spent = now - host.stateMillis;
    switch (host.state) {
      case DRAINING -> {
        if (host.running.isEmpty()) {
          host.enter(HostState.DRAINED, now);
        }
      }
      case DRAINED -> enterAfter(host, spent, FleetSizes.RELEASE, HostState.DOWN, now);
      case DOWN -> {
        if (spent >= FleetSizes.REBOOT) {
          rebooted(host, now);
        }
      }
      case RETURNED -> {
        if (spent >= FleetSizes.PROBATION) {
          host.purpose = SimHost.Purpose.NONE;
          host.enter(HostState.AVAILABLE, now);
          dispatcher.serve(host.pool);
        }
      }
      case LOST -> {
        if (now >= host.lostUntil) {
          host.enter(host.target == null ? HostState.RETURNED : HostState.DOWN, now);
        }
      }
      default -> {
        // An available host changes only by a drain or a loss.
      }
    }
  }

  private static void enterAfter(SimHost host, long spent, long least, HostState next, long now) {
    if (spent >= least) {
      host.enter(next, now);
    }
  }

  private void rebooted(SimHost host, long now) {
    if (host.purpose == SimHost.Purpose.MOVE) {
      fleet.join(host, now);
      return;
    }
    host.awaitsMaintenance = false;
    if (faults.returnsLate(host)) {
      host.lostUntil = now + FaultPlan.LATE_RETURN;
      host.enter(HostState.LOST, now);
    } else {
      host.enter(HostState.RETURNED, now);
    }
  }

  /** Takes hosts down for the wave as far as the paces and the budgets allow. */
  void takeForWave(List<PaceDecision> paces, long now) {
    if (!isWaveRunning()) {
      return;
    }
    for (PaceDecision pace : paces) {
      SimPool pool = fleet.pool(pace.pool());
      long down =
          pool.hosts.stream()
              .filter(host -> host.purpose == SimHost.Purpose.MAINTENANCE)
              .filter(host -> host.state != HostState.LOST)
              .count();
      for (SimHost host : List.copyOf(pool.hosts)) {
        if (down < pace.maxDown()
            && host.awaitsMaintenance
            && host.state == HostState.AVAILABLE
            && fleet.hasRoom(pool, host)) {
          fleet.drain(host, SimHost.Purpose.MAINTENANCE, null, now);
          down++;
        }
      }
    }
  }
}
