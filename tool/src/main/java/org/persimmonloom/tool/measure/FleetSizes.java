package org.persimmonloom.tool.measure;

/**
 * Sizes and times of the simulated fleet. Counts are those of the current size in the design; times
 * are compressed so that one run covers two days of demand. Times are in milliseconds.
 */
final class FleetSizes {
  static final long SECOND = 1000;
  static final long RUN = 3600 * SECOND;
  static final long DAY = 1800 * SECOND;

  static final int HOSTS_PER_POOL = 8;
  static final int HOSTS_PER_RACK = 4;
  static final int DATA_CENTRES = 4;
  static final int EXECUTOR_SLOTS = 8;

  /** A worker of 16 cores runs four jobs of 4 cores. */
  static final int WORKER_SLOTS = 4;

  static final int POOL_BUDGET = 3;
  static final int RACK_BUDGET = 2;
  static final int DATA_CENTRE_BUDGET = 3;

  static final long RELEASE = 5 * SECOND;
  static final long REBOOT = 35 * SECOND;
  static final long PROBATION = 15 * SECOND;

  /** Release, reboot and probation, plus the usual drain of about 20 s. */
  static final long USUAL_MOVE = 75 * SECOND;

  static final long REPORT_INTERVAL = 2 * SECOND;
  static final long REPORT_LAG = 4 * SECOND;
  static final long PLAN_INTERVAL = 5 * SECOND;
  static final long WAVE_START = RUN * 2 / 5;

  /** Long work that arrives before this time from the end must have ended with the run. */
  static final long LONG_GRACE = 180 * SECOND;

  private FleetSizes() {}
}
