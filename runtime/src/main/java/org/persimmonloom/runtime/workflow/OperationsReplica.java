package org.persimmonloom.runtime.workflow;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.WaveOrder;

/**
 * Replica of the configuration and the operators' maintenance waves; an older version of the
 * configuration never replaces a newer one. Safe for any thread.
 */
public final class OperationsReplica implements TableFollower.Listener {
  private static final Logger LOG = LogManager.getLogger(OperationsReplica.class);

  private final PlatformDecoder decoder;
  private final Map<Integer, WaveOrder> waves = new ConcurrentHashMap<>();
  private volatile FleetConfiguration current;
  private volatile Runnable observer = () -> {};

  public OperationsReplica(PlatformDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns the configuration in force; empty before the first one is read. */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(current);
  }

  /** Returns the maintenance waves ordered by operators. */
  public Collection<WaveOrder> waves() {
    return waves.values();
  }

  /** Calls {@code newObserver} after each later change; replaces the previous observer. */
  public void setObserver(Runnable newObserver) {
    observer = newObserver;
  }

  @Override
  public void apply(StoredRecord stored, boolean isBacklog) {
    decoder
        .configuration(stored.record())
        .filter(candidate -> current == null || candidate.version() > current.version())
        .ifPresent(candidate -> accept(candidate, stored.offset()));
    decoder
        .wave(stored.record())
        .ifPresent(
            wave -> {
              if (!wave.equals(waves.put(wave.number(), wave))) {
                LOG.info("event=wave_ordered wave={}", wave);
                observer.run();
              }
            });
  }

  @Override
  public boolean needsEveryRecord() {
    return false;
  }

  private void accept(FleetConfiguration candidate, long offset) {
    current = candidate;
    LOG.info(
        "event=configuration version={} routes={} offset={}",
        candidate.version(),
        candidate.routes().size(),
        offset);
    observer.run();
  }
}
