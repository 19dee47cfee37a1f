package org.persimmonloom.runtime.fleet;

import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostListTracker;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.maintenance.MaintenanceSteps.Step;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.runtime.caller.LeavingHosts;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.Currency;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Reads the host list at an interval and proposes what {@link HostListTracker} decides. A failed
 * read is no reading: no host is missing because the list is. Hosts named as leaving get no new
 * work from this entry host, even before their drain is folded. Started and stopped once.
 */
@Singleton
public final class HostListWatcher {
  private static final Logger LOGGER = LogManager.getLogger(HostListWatcher.class);
  private static final long INTERVAL_MILLIS = 1_000;

  private final HostListClient client;
  private final ReplicatedState state;
  private final Currency currency;
  private final LeavingHosts leaving;
  private final InstantSource clock;
  private final StepProposer proposer;
  private final HostListTracker tracker = new HostListTracker();
  private final ScheduledExecutorService executor = WaveController.executor("host-list");
  private List<String> massEvents = List.of();
  private boolean reachable = true;

  @Inject
  public HostListWatcher(
      HostListClient client,
      ReplicatedState state,
      Currency currency,
      LeavingHosts leaving,
      Proposer proposer,
      EntrySettings settings,
      InstantSource clock) {
    this.client = client;
    this.state = state;
    this.currency = currency;
    this.leaving = leaving;
    this.clock = clock;
    this.proposer = new StepProposer(proposer, settings.name());
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
    long askedMillis = clock.millis();
    try {
      HostList list = client.read();
      reachable = true;
      leaving.setHostList(list.leaving(), askedMillis);
      if (currency.isCurrent()) {
        take(list, clock.millis());
      }
    } catch (IOException e) {
      if (reachable) {
        LOGGER.warn("host list unreachable: {}", e.getMessage());
      }
      reachable = false;
      leaving.recordUnreadableHostList(askedMillis, clock.millis());
    } catch (RuntimeException e) {
      // A scheduled task that throws is never run again.
      LOGGER.error("host list not processed", e);
    }
  }

  private void take(HostList list, long nowMillis) {
    HostListTracker.Evaluation decision =
        state.read(
            fleet ->
                tracker.evaluate(
                    list.live(),
                    list.leaving(),
                    fleet.hosts().all(),
                    pool -> fleet.releases().pool(pool).isPresent(),
                    nowMillis));
    List<String> members =
        state.read(fleet -> fleet.entryHosts().live().stream().map(EntryHost::name).toList());
    List<Step> steps = new ArrayList<>();
    decision.proposals().forEach(it -> steps.add(new Step(subject(it), it)));
    proposer.offer(steps, members, nowMillis);
    if (!decision.massEvents().equals(massEvents)) {
      massEvents = decision.massEvents();
      LOGGER.warn("mass events in the host list: {}", massEvents);
    }
  }

  private static String subject(Proposal proposal) {
    if (proposal instanceof HostAdmitted admitted) {
      return admitted.facts().name();
    } else if (proposal instanceof HostLost lost) {
      return lost.host();
    } else if (proposal instanceof HostReturned returned) {
      return returned.host();
    } else if (proposal instanceof HostLeaving named) {
      return named.host();
    } else if (proposal instanceof DrainCancelled cancelled) {
      return cancelled.host();
    } else if (proposal instanceof HostsUnlisted unlisted) {
      return unlisted.domain() + unlisted.isUnlisted();
    }
    throw new IllegalArgumentException("no subject for " + proposal);
  }
}
