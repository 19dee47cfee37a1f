package org.persimmonloom.runtime.fleet;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.runtime.caller.LeavingHosts;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.ReplicatedState;

/** Reads the host list at an interval and proposes hosts that the fold does not know. */
@Singleton
public final class HostListWatcher {
  private static final Logger LOGGER = LogManager.getLogger(HostListWatcher.class);
  private static final long INTERVAL_MILLIS = 1_000;

  private final HostListClient client;
  private final ReplicatedState state;
  private final Proposer proposer;
  private final LeavingHosts leaving;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private boolean reachable = true;

  @Inject
  public HostListWatcher(
      HostListClient client, ReplicatedState state, Proposer proposer, LeavingHosts leaving) {
    this.leaving = leaving;
    this.client = client;
    this.state = state;
    this.proposer = proposer;
  }

  /** Starts reading. */
  public void start() {
    executor.scheduleWithFixedDelay(this::poll, 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops reading. */
  public void stop() {
    executor.shutdownNow();
  }

  private void poll() {
    try {
      HostList list = client.read();
      leaving.setHostList(list.leaving());
      reachable = true;
      List<HostAdmitted> admissions =
          state.read(
              fleet ->
                  list.live().stream()
                      .filter(facts -> fleet.releases().pool(facts.homePool()).isPresent())
                      .filter(facts -> !isKnown(fleet.hosts().find(facts.name()), facts))
                      .map(HostAdmitted::new)
                      .toList());
      if (!admissions.isEmpty()) {
        proposer.propose(admissions);
      }
    } catch (IOException e) {
      if (reachable) {
        LOGGER.warn("host list unreachable: {}", e.getMessage());
      }
      reachable = false;
    }
  }

  private static boolean isKnown(java.util.Optional<Host> host, HostFacts facts) {
    return host.isPresent() && host.get().facts().equals(facts);
  }
}
