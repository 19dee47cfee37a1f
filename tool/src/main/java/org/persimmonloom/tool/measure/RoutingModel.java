package org.persimmonloom.tool.measure;

/**
 * What the routing measurement simulates. The sizes are those of the design page; the run times are
 * chosen so that a fiftieth of the requests needs two fifths of the slot time.
 *
 * @param delayMicros one-way delay between data centres
 * @param reportAgeMillis age at which a load report takes effect
 * @param runMicros time during which callers send requests
 */
record RoutingModel(long delayMicros, long reportAgeMillis, long runMicros) {
  static final int HOSTS = 8;
  static final int SERVICES = 5;
  static final int ENDPOINTS = 8;
  static final int SLOTS = 8;
  static final int CONNECTIONS = 64;
  static final int DATA_CENTRES = 4;
  static final int QUEUE_LIMIT = 512;

  static final long LOCAL_DELAY_MICROS = 100;
  static final long CALLER_DELAY_MICROS = 3_000;
  static final long REPORT_INTERVAL_MICROS = 500_000;
  static final long SUSPECT_MICROS = 2_000_000;

  static final long PEAK_MICROS = 4_000_000;
  static final long RUN_MICROS = 60_000_000;
  static final double PEAK_FACTOR = 5;
  static final double VALLEY_FACTOR = 0.05;

  /** Mean demand as a part of the capacity; the peak asks for 1.25 times the capacity. */
  static final double MEAN_UTILIZATION = 0.25;

  /** In a peak, when both queues and slots are full, and the time until the replacement starts. */
  static final long VANISH_MICROS = 26_500_000;

  static final long REPLACE_AFTER_MICROS = 3_000_000;

  static final long SHORT_LIMIT_MILLIS = 1_000;
  static final long SHORT_DEADLINE_MILLIS = 5_000;
  static final long LONG_DEADLINE_MILLIS = 120_000;

  static RoutingModel of(String deployment, long reportAgeMillis) {
    long delayMicros = deployment.equals("bot") ? 1_500 : 500;
    return new RoutingModel(delayMicros, reportAgeMillis, RUN_MICROS);
  }

  /** Returns the one-way delay between two data centres. */
  long delay(int from, int to) {
    return from == to ? LOCAL_DELAY_MICROS : delayMicros;
  }

  /** Returns the demand of a service as a multiple of its mean. */
  static double demandFactor(int service, long micros) {
    return micros / PEAK_MICROS % SERVICES == service ? PEAK_FACTOR : VALLEY_FACTOR;
  }
}
