package org.persimmonloom.runtime.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * Replica of the configuration and the operators' maintenance waves; an older version of the
 * configuration never replaces a newer one. Safe for any thread.
 */
public final class OperationsReplica implements TableFollower.Listener {
  private static final Logger LOG = LogManager.getLogger(OperationsReplica.class);

  /**
   * How long a change of a queue's service is kept; longer than an earlier owner can act after the
   * change, and its leases last.
   */
  private static final long REROUTE_KEPT_MILLIS = 60_000;

  private final PlatformDecoder decoder;
  private final LongSupplier clock;

  /** When the service of a queue has last changed, on the clock. */
  private final Map<String, Long> reroutedMillis = new ConcurrentHashMap<>();

  private final Map<Integer, WaveOrder> waves = new ConcurrentHashMap<>();
  private volatile InForce current;
  private volatile Runnable observer = () -> {};

  /**
   * Creates an empty replica.
   *
   * @param clock monotonic clock in milliseconds
   */
  public OperationsReplica(PlatformDecoder decoder, LongSupplier clock) {
    this.decoder = decoder;
    this.clock = clock;
  }

  /** Returns the configuration in force; empty before the first one is read. */
  public Optional<FleetConfiguration> configuration() {
    return inForce().map(InForce::configuration);
  }

  /** Returns the configuration in force with its record; empty before the first one is read. */
  Optional<InForce> inForce() {
    return Optional.ofNullable(current);
  }

  /** Returns the maintenance waves ordered by operators. */
  public Collection<WaveOrder> waves() {
    return waves.values();
  }

  /** Applies the configuration in force, which must have been read, to a scheduler. */
  void configure(FleetScheduler scheduler) {
    FleetConfiguration configuration = configuration().orElseThrow();
    scheduler.configure(
        configuration.policies(),
        configuration.services(),
        configuration.spareServices(),
        reroutedQueues());
  }

  /** Returns the queues whose service has changed lately, as far as this host has read. */
  Set<String> reroutedQueues() {
    long nowMillis = clock.getAsLong();
    return reroutedMillis.entrySet().stream()
        .filter(entry -> nowMillis - entry.getValue() < REROUTE_KEPT_MILLIS)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
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
  record InForce(FleetConfiguration configuration, StoredRecord stored) {}

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

  private void noteReroutes(InForce previous, InForce next) {
    if (previous == null) {
      return;
    }
    Map<String, QueuePolicy> earlier = previous.configuration().policies();
    next.configuration()
        .policies()
        .forEach(
            (queue, policy) -> {
              QueuePolicy known = earlier.get(queue);
              if (known != null && !known.service().equals(policy.service())) {
                reroutedMillis.put(queue, clock.getAsLong());
              }
            });
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
      noteReroutes(current, candidate);
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
