package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;

/**
 * The queue discipline, the same for every policy.
 *
 * <p>A pool serves its own short work first, then its own long work, which holds at most half of
 * the slots of executors. Idle slots of the spare pool are lent to the queue whose head has waited
 * longest: executors run lent short work, workers run lent jobs. Of the available hosts of the
 * spare pool, as many as its own service needs run its long work, the buffer hosts run short and
 * lent work only, and the rest is released: it runs nothing. Work on a host that is lost goes back
 * to the head of its queue.
 */
final class Dispatcher {
  /** Waits are recorded in units of 0.1 ms. */
  static final double UNITS_PER_MILLI = 10;

  final Histogram shortWaits = new Histogram(3);
  private final EventQueue events;
  private final List<SimPool> pools;
  private final int[] buffers = new int[HostKind.values().length];
  private final int[] spareNeeds = new int[HostKind.values().length];
  private final SimPool[] spares = new SimPool[HostKind.values().length];
  private double waitSum;
  private double waitBehindLong;
  private long longArrived;
  private long longFinished;

  Dispatcher(EventQueue events, List<SimPool> pools) {
    this.events = events;
    this.pools = pools;
    pools.stream().filter(pool -> pool.isSpare).forEach(pool -> spares[pool.kind.ordinal()] = pool);
  }

  void setBuffer(HostKind kind, int hosts) {
    buffers[kind.ordinal()] = hosts;
  }

  /** Sets how many hosts the service of the spare pool needs for itself. */
  void setSpareNeed(HostKind kind, int hosts) {
    spareNeeds[kind.ordinal()] = hosts;
  }

  /** Returns how many hosts of the spare pool are kept as a buffer now. */
  int bufferInUse(SimPool spare) {
    int kind = spare.kind.ordinal();
    int beyondNeed = spare.count(HostState.AVAILABLE) - spareNeeds[kind];
    return Math.max(0, Math.min(beyondNeed, buffers[kind]));
  }

  void arrive(Work work) {
    if (mustFinish(work)) {
      longArrived++;
    }
    SimHost host = place(work);
    if (host != null) {
      start(work, host);
    } else {
      work.longShare = work.home.longShare();
      (work.isShort ? work.home.shortQueue : work.home.longQueue).add(work);
    }
  }

  /** Long work that arrives in the last minutes can't be expected to end within the run. */
  private static boolean mustFinish(Work work) {
    return !work.isShort && work.arrival < FleetSizes.RUN - FleetSizes.LONG_GRACE;
  }

  private SimHost place(Work work) {
    SimPool home = work.home;
    boolean isOvertaking = !(work.isShort ? home.shortQueue : home.longQueue).isEmpty();
    if (isOvertaking) {
      return null;
    }
    SimHost host =
        work.isShort || home.isLongAllowed() ? home.freeHost(usable(home, work.isShort)) : null;
    if (host == null && !home.isSpare && isLendable(work)) {
      SimPool spare = spareOf(home.kind);
      return spare.freeHost(usable(spare, true));
    }
    return host;
  }

  /** Returns how many of the available hosts, in their order, may run such work. */
  private int usable(SimPool pool, boolean isBufferUsed) {
    if (!pool.isSpare) {
      return Integer.MAX_VALUE;
    }
    int kind = pool.kind.ordinal();
    return spareNeeds[kind] + (isBufferUsed ? buffers[kind] : 0);
  }

  private static boolean isLendable(Work work) {
    return work.isShort || work.home.kind == HostKind.WORKER;
  }

  private SimPool spareOf(HostKind kind) {
    return spares[kind.ordinal()];
  }

  private void start(Work work, SimHost host) {
    host.running.add(work);
    if (work.isShort) {
      double wait = events.now() - work.arrival;
      shortWaits.recordValue(Math.round(wait * UNITS_PER_MILLI));
      waitSum += wait;
      waitBehindLong += wait * work.longShare;
    } else {
      host.pool.longRunning++;
    }
    int attempt = work.attempt;
    events.at(events.now() + work.runTime, () -> finish(work, host, attempt));
  }

  private void finish(Work work, SimHost host, int attempt) {
    if (work.attempt != attempt) {
      return;
    }
    host.running.remove(work);
    if (!work.isShort) {
      host.pool.longRunning--;
    }
    if (mustFinish(work)) {
      longFinished++;
    }
    if (host.state == HostState.AVAILABLE) {
      serve(host.pool);
    }
  }

  /** Starts queued work for as long as the pool has idle slots for it. */
  void serve(SimPool pool) {
    while (serveOne(pool)) {}
  }

  private boolean serveOne(SimPool pool) {
    SimHost host = pool.freeHost(usable(pool, true));
    if (host == null) {
      return false;
    }
    if (!pool.shortQueue.isEmpty()) {
      start(pool.shortQueue.poll(), host);
      return true;
    }
    if (!pool.longQueue.isEmpty() && pool.isLongAllowed()) {
      SimHost longHost = pool.freeHost(usable(pool, false));
      if (longHost != null) {
        start(pool.longQueue.poll(), longHost);
        return true;
      }
    }
    return pool.isSpare && lend(pool, host);
  }

  private boolean lend(SimPool spare, SimHost host) {
    Work oldest = null;
    for (SimPool pool : pools) {
      if (pool.kind == spare.kind && !pool.isSpare) {
        Work head = pool.shortQueue.peek();
        head = head == null && pool.kind == HostKind.WORKER ? pool.longQueue.peek() : head;
        if (head != null && (oldest == null || head.arrival < oldest.arrival)) {
          oldest = head;
        }
      }
    }
    if (oldest == null) {
      return false;
    }
    (oldest.isShort ? oldest.home.shortQueue : oldest.home.longQueue).poll();
    start(oldest, host);
    return true;
  }

  /** Puts the work of a lost host back to the head of its queues. */
  void requeue(SimHost host) {
    List<Work> lost = new ArrayList<>(host.running);
    lost.sort(Comparator.comparingDouble((Work work) -> work.arrival).reversed());
    host.running.clear();
    for (Work work : lost) {
      work.attempt++;
      if (!work.isShort) {
        host.pool.longRunning--;
      }
      (work.isShort ? work.home.shortQueue : work.home.longQueue).addFirst(work);
    }
    pools.forEach(this::serve);
  }

  long longUnfinished() {
    return longArrived - longFinished;
  }

  double headOfLineShare() {
    return waitSum == 0 ? 0 : waitBehindLong / waitSum;
  }
}
