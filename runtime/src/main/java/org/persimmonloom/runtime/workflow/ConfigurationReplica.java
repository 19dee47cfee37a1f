package org.persimmonloom.runtime.workflow;

import java.util.Optional;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Holds the newest configuration; an older version never replaces it. Safe for any thread. */
public final class ConfigurationReplica implements TableFollower.Listener {
  private static final Logger LOG = LogManager.getLogger(ConfigurationReplica.class);

  private final PlatformDecoder decoder;
  private volatile FleetConfiguration newest;
  private volatile Consumer<FleetConfiguration> observer = configuration -> {};

  public ConfigurationReplica(PlatformDecoder decoder) {
    this.decoder = decoder;
  }

  /** Returns the configuration in force; empty until one was read. */
  public Optional<FleetConfiguration> newest() {
    return Optional.ofNullable(newest);
  }

  /** Calls {@code changed} with each new configuration from now on. */
  public void observe(Consumer<FleetConfiguration> changed) {
    observer = changed;
  }

  @Override
  public void apply(StoredRecord stored, boolean isBacklog) {
    decoder
        .configuration(stored.record())
        .filter(read -> newest == null || read.version() > newest.version())
        .ifPresent(
            read -> {
              newest = read;
              LOG.info(
                  "event=configuration version={} routes={} offset={}",
                  read.version(),
                  read.routes().size(),
                  stored.offset());
              observer.accept(read);
            });
  }
}
