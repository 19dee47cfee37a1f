package org.persimmonloom.core.job;

import java.util.OptionalLong;

/** Tells when maintenance of a host is likely to begin. Implementations are pure. */
@FunctionalInterface
public interface MaintenanceForecast {
  /** An outlook without any maintenance. */
  MaintenanceForecast NONE = host -> OptionalLong.empty();

  /** Returns when the next drain of the host is due, in milliseconds of fold time, if planned. */
  OptionalLong nextDrainMillis(String host);
}
