package org.persimmonloom.tool.measure;

import java.util.Random;

/**
 * The faults of one run, drawn from the seed alone. Failures within the wave are correlated by
 * rack: in a third of the racks four of ten hosts don't come back from maintenance in time, in the
 * others one of ten. Besides, one rack is lost for three minutes, usage reports lag for a tenth of
 * the run, one pool reports nothing for a twentieth, one report in ten is lost throughout, and the
 * host list misses half of the hosts for half a minute.
 */
final class FaultPlan {
  static final long LATE_RETURN = 120 * FleetSizes.SECOND;
  static final long RACK_LOSS_AT = FleetSizes.RUN * 11 / 20;
  static final long RACK_LOSS = 180 * FleetSizes.SECOND;
  static final long LONG_LAG = 45 * FleetSizes.SECOND;
  static final long WRONG_LIST_AT = FleetSizes.RUN * 7 / 20;
  static final long WRONG_LIST = 30 * FleetSizes.SECOND;

  private final boolean isEnabled;
  private final long seed;

  FaultPlan(boolean isEnabled, long seed) {
    this.isEnabled = isEnabled;
    this.seed = seed;
  }

  boolean isEnabled() {
    return isEnabled;
  }

  boolean returnsLate(SimHost host) {
    double chance = draw("rack " + host.rack) < 1 / 3.0 ? 0.4 : 0.1;
    return isEnabled && draw("host " + host.name) < chance;
  }

  /** Returns the rack that is lost, of {@code racks} in all. */
  String lostRack(int racks) {
    return "r" + (int) (draw("lost rack") * racks);
  }

  long reportLag(long millis) {
    boolean isLagging = isWithin(millis, FleetSizes.RUN / 5, FleetSizes.RUN / 10);
    return isEnabled && isLagging ? LONG_LAG : FleetSizes.REPORT_LAG;
  }

  boolean isReportLost(SimPool pool, long millis) {
    boolean isSilent =
        isWithin(millis, FleetSizes.RUN * 9 / 20, FleetSizes.RUN / 20)
            && pool.service == (int) (draw("silent") * 5);
    return isEnabled && (isSilent || draw(pool.name + millis) < 0.1);
  }

  boolean isListWrong(long millis) {
    return isEnabled && isWithin(millis, WRONG_LIST_AT, WRONG_LIST);
  }

  boolean isMissing(SimHost host, long millis) {
    return isListWrong(millis) && draw("list " + host.name) < 0.5;
  }

  private static boolean isWithin(long millis, long from, long length) {
    return millis >= from && millis < from + length;
  }

  private double draw(String purpose) {
    return new Random(seed * 31 + purpose.hashCode() * 1_000_003L).nextDouble();
  }
}
