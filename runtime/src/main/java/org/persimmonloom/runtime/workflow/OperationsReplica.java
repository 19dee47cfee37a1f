package org.persimmonloom.runtime.workflow;

import java.util.Collection;
import java.util.HashMap;
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
  private volatile InForce current;
  private volatile Runnable observer = () -> {};

  public OperationsReplica(PlatformDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns the configuration in force; empty before the first one is read. */
  public Optional<FleetConfiguration> configuration() {
    return Optional.ofNullable(current).map(InForce::configuration);
  }

  /** Returns the record of the configuration in force; empty before the first one is read. */
  Optional<StoredRecord> configurationRecord() {
    return Optional.ofNullable(current).map(InForce::stored);
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
  public void apply(StoredRecord stored) {
    Contents changed = new Contents();
    changed.add(stored);
    accept(changed);
  }

  @Override
  public TableFollower.Load beginLoad() {
    Contents loaded = new Contents();
    return TableFollower.Load.of(loaded::add, () -> accept(loaded));
  }

  @Override
  public boolean needsEveryRecord() {
    return false;
  }

  /** A configuration with the record that holds it. */
  private record InForce(FleetConfiguration configuration, StoredRecord stored) {}

  /** Configuration and waves of some records, before any of them takes effect. */
  private final class Contents {
    final Map<Integer, WaveOrder> waves = new HashMap<>();
    InForce configuration;

    void add(StoredRecord stored) {
      decoder
          .configuration(stored.record())
          .filter(candidate -> isNewer(candidate, configuration))
          .ifPresent(candidate -> configuration = new InForce(candidate, stored));
      decoder.wave(stored.record()).ifPresent(wave -> waves.put(wave.number(), wave));
    }
  }

  private static boolean isNewer(FleetConfiguration candidate, InForce known) {
    return known == null || candidate.version() > known.configuration().version();
  }

  private synchronized void accept(Contents accepted) {
    boolean isChanged = false;
    for (WaveOrder wave : accepted.waves.values()) {
      if (!wave.equals(waves.put(wave.number(), wave))) {
        LOG.info("event=wave_ordered wave={}", wave);
        isChanged = true;
      }
    }
    InForce candidate = accepted.configuration;
    if (candidate != null && isNewer(candidate.configuration(), current)) {
      long previousVersion = current == null ? 0 : current.configuration().version();
      current = candidate;
      LOG.info(
          "event=configuration version={} previous={} routes={} offset={}",
          candidate.configuration().version(),
          previousVersion,
          candidate.configuration().routes().size(),
          candidate.stored().offset());
      isChanged = true;
    }
    if (isChanged) {
      observer.run();
    }
  }
}
