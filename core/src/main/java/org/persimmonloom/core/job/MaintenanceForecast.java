package org.persimmonloom.core.job;

import java.util.OptionalLong;

/** Predicts when maintenance of a host begins. Implementations are pure. */
@FunctionalInterface
public interface MaintenanceForecast {
  /** A forecast without any maintenance. */
  MaintenanceForecast NONE = host -> OptionalLong.empty();

  /**
   * Returns the fold time in milliseconds at which the next drain of the host is expected to begin,
   * or empty if none is planned.
   */
  OptionalLong nextDrainMillis(String host);
}
