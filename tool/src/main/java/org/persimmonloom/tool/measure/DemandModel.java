package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.persimmonloom.core.host.HostKind;

/**
 * The demand of every pool over time. It depends on the seed only, so that all policies meet the
 * same demand.
 *
 * <p>Each queue in turn, in an order drawn anew for each rotation, receives five times its mean for
 * 4 to 8 s and otherwise a twentieth of it. On top lie a daily shape of 20 % and a slow trend: one
 * service of each kind grows to twice its demand and one falls to 0.45 times. The long work of the
 * spare pool's service does not rotate; most of it comes in the second half of the day.
 */
final class DemandModel {
  private static final double PEAK = 5;
  private static final double OFF_PEAK = 0.05;
  private static final double DAILY = 0.2;
  private static final double GROWTH = 2;
  private static final double DECLINE = 0.45;

  /** Five times this is 85 slots; a pool of executors has 64. */
  private static final double EXECUTOR_MEAN = 17;

  /** Five times this is 35 slots; a pool of workers has 32. */
  private static final double WORKER_MEAN = 7;

  private static final double SPARE_MEAN_SHARE = 0.4;
  private static final double SPARE_LONG_SHARE = 0.8;

  private final int services;
  private final List<Long> burstStarts = new ArrayList<>();
  private final List<Integer> burstServices = new ArrayList<>();

  DemandModel(int services, long seed) {
    this.services = services;
    Random random = new Random(seed);
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < services; i++) {
      order.add(i);
    }
    for (long at = 0; at < FleetSizes.RUN; ) {
      Collections.shuffle(order, random);
      for (int service : order) {
        burstStarts.add(at);
        burstServices.add(service);
        at += 4 * FleetSizes.SECOND + random.nextInt(4000);
      }
    }
  }

  /** Returns the slots that short and rotating long work of a service needs, without bursts. */
  double mean(HostKind kind, int service, long millis) {
    double base = kind == HostKind.EXECUTOR ? EXECUTOR_MEAN : WORKER_MEAN;
    if (service == services - 1) {
      base *= SPARE_MEAN_SHARE;
    }
    double daily = 1 + DAILY * Math.sin(2 * Math.PI * millis / FleetSizes.DAY);
    return base * daily * trend(kind, service, millis / (double) FleetSizes.RUN);
  }

  /** Returns the same with bursts. */
  double rotating(HostKind kind, int service, long millis) {
    boolean isPeak = burstService(millis) == service;
    return mean(kind, service, millis) * (isPeak ? PEAK : OFF_PEAK);
  }

  /** Returns the slots that the deferrable long work of the spare pool's service needs. */
  double deferrable(HostKind kind, long millis) {
    double base = kind == HostKind.EXECUTOR ? EXECUTOR_MEAN : WORKER_MEAN;
    boolean isNight = millis % FleetSizes.DAY > FleetSizes.DAY / 2;
    return base * SPARE_LONG_SHARE * (isNight ? 1 : 0.25);
  }

  private int burstService(long millis) {
    int place = Collections.binarySearch(burstStarts, millis);
    return burstServices.get(place >= 0 ? place : -place - 2);
  }

  private static double trend(HostKind kind, int service, double share) {
    int growing = kind == HostKind.EXECUTOR ? 0 : 2;
    if (service == growing) {
      return ramp(share, 0.2, 0.6, GROWTH);
    }
    return service == growing + 1 ? ramp(share, 0.3, 0.7, DECLINE) : 1;
  }

  private static double ramp(double share, double from, double to, double factor) {
    double done = Math.max(0, Math.min(1, (share - from) / (to - from)));
    return 1 + done * (factor - 1);
  }
}
