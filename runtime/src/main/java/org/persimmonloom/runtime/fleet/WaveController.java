package org.persimmonloom.runtime.fleet;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.explain.Decision;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.host.Drain;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.maintenance.MaintenanceSteps.Step;
import org.persimmonloom.core.maintenance.ProposerOrder;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.Currency;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Carries waves and moves on: proposes the steps that are due, confirms drains for this entry host,
 * and asks the platform to reboot hosts whose DOWN record is folded.
 *
 * <p>Every entry host runs it; none is in charge. The fold decides each step, and a reboot is
 * idempotent by its attempt, which is the host's DOWN offset, so that repeated calls are harmless.
 * {@link #tick} is called by one timer thread; a second thread makes the calls to the platform,
 * because a slow platform must not delay confirmations.
 */
@Singleton
public final class WaveController {
  private static final Logger LOGGER = LogManager.getLogger(WaveController.class);

  /** Looking for due steps takes some milliseconds of a core at 4,200 hosts. */
  private static final long INTERVAL_MILLIS = 500;

  /** A host that draws on the drain state only once per request has seen it by then. */
  private static final long CONFIRM_AFTER_MILLIS = 250;

  /** Longer than one call to the platform, so that usually one entry host makes it. */
  private static final long REBOOT_RANK_DELAY_MILLIS = 2_000;

  private final ReplicatedState state;
  private final Proposer proposer;
  private final Set<DrainProbe> probes;
  private final HostListClient platform;
  private final Currency currency;
  private final InstantSource clock;
  private final String self;
  private final StepProposer steps;
  private final Counter proposedSteps;
  private final Counter confirmedDrains;
  private final Counter acceptedReboots;
  private final Counter raisedAlerts;
  private final TreeMap<String, Long> firstSeen = new TreeMap<>();
  private final TreeSet<String> confirmed = new TreeSet<>();
  private final Set<String> rebooted = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService timer = executor("wave-controller");
  private final ScheduledExecutorService calls = executor("platform-reboot");
  private long alertedOffset = -1;

  @Inject
  public WaveController(
      ReplicatedState state,
      Proposer proposer,
      Set<DrainProbe> probes,
      HostListClient platform,
      Currency currency,
      EntrySettings settings,
      InstantSource clock,
      PrometheusRegistry metrics) {
    this.state = state;
    this.proposer = proposer;
    this.probes = Set.copyOf(probes);
    this.platform = platform;
    this.currency = currency;
    this.clock = clock;
    this.self = settings.name();
    this.steps = new StepProposer(proposer, self);
    proposedSteps = counter(metrics, "maintenance_steps_proposed", "Steps of waves and moves");
    confirmedDrains = counter(metrics, "drains_confirmed", "Drains this entry host confirmed");
    acceptedReboots = counter(metrics, "reboots_accepted", "Reboots the platform accepted");
    raisedAlerts = counter(metrics, "alerts", "Alerts in the folded records");
  }

  private static Counter counter(PrometheusRegistry metrics, String name, String help) {
    return Counter.builder().name("persimmonloom_" + name).help(help).register(metrics);
  }

  static ScheduledExecutorService executor(String name) {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }

  /** Starts the timer. */
  public void start() {
    timer.scheduleWithFixedDelay(
        this::tickSafely, INTERVAL_MILLIS, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Stops the timer. Steps that are due are left to the other entry hosts. */
  public void stop() {
    timer.shutdownNow();
    calls.shutdownNow();
  }

  private void tickSafely() {
    try {
      if (currency.isCurrent()) {
        tick(clock.millis());
      }
    } catch (RuntimeException e) {
      // A scheduled task that throws is never run again.
      LOGGER.error("maintenance step failed", e);
    }
  }

  private record View(
      List<Step> due, List<String> members, List<Host> unavailable, List<Decision> alerts) {}

  private View view(long nowMillis) {
    return state.read(
        fleet ->
            new View(
                fleet.maintenanceSteps().dueSteps(nowMillis),
                fleet.entryHosts().live().stream().map(EntryHost::name).toList(),
                fleet.hosts().all().stream().filter(host -> host.drain() != null).toList(),
                fleet.journal().alerts()));
  }

  /** Does what is due at the given time. */
  void tick(long nowMillis) {
    View view = view(nowMillis);
    proposedSteps.inc(steps.offer(view.due(), view.members(), nowMillis).size());
    remember(view.unavailable(), nowMillis);
    confirmDrains(view.unavailable(), nowMillis);
    reboot(view, nowMillis);
    logAlerts(view.alerts());
  }

  private static String key(Host host) {
    return host.name() + '@' + host.stateOffset();
  }

  private void remember(List<Host> hosts, long nowMillis) {
    TreeSet<String> present = new TreeSet<>();
    for (Host host : hosts) {
      present.add(key(host));
      firstSeen.putIfAbsent(key(host), nowMillis);
    }
    firstSeen.keySet().retainAll(present);
    confirmed.retainAll(present);
    rebooted.retainAll(present);
  }

  private void confirmDrains(List<Host> hosts, long nowMillis) {
    List<DrainConfirmed> confirmations = new ArrayList<>();
    Optional<EntryHost> own = state.read(fleet -> fleet.entryHosts().find(self));
    for (Host host : hosts) {
      boolean isOpen =
          host.state() == HostState.DRAINING
              && own.isPresent()
              && !host.drain().isConfirmedBy(self, own.get().incarnation());
      boolean isSettled = nowMillis - firstSeen.get(key(host)) >= CONFIRM_AFTER_MILLIS;
      if (isOpen && isSettled && isIdle(host.name()) && confirmed.add(key(host))) {
        confirmations.add(new DrainConfirmed(host.name(), host.drain().offset()));
      }
    }
    if (!confirmations.isEmpty()) {
      confirmedDrains.inc(confirmations.size());
      // A confirmation that was not folded is made again with the next tick after its outcome.
      proposer
          .propose(confirmations)
          .whenComplete((verdicts, error) -> timer.execute(confirmed::clear));
    }
  }

  private boolean isIdle(String host) {
    return probes.stream().allMatch(probe -> probe.isIdle(host));
  }

  private void reboot(View view, long nowMillis) {
    for (Host host : view.unavailable()) {
      boolean isDue = host.state() == HostState.DOWN && host.drain().cause() == Drain.Cause.WAVE;
      int rank = ProposerOrder.rank(self, view.members(), host.name());
      long waitedMillis = nowMillis - firstSeen.get(key(host));
      if (isDue && waitedMillis >= rank * REBOOT_RANK_DELAY_MILLIS && rebooted.add(key(host))) {
        calls.execute(() -> call(host));
      }
    }
  }

  private void call(Host host) {
    boolean isStillDown =
        state
            .read((FleetState fleet) -> fleet.hosts().find(host.name()))
            .filter(it -> key(it).equals(key(host)))
            .isPresent();
    if (!isStillDown) {
      return;
    }
    try {
      platform.reboot(host.name(), key(host));
      acceptedReboots.inc();
    } catch (IOException e) {
      LOGGER.warn("reboot of {} not accepted: {}", host.name(), e.getMessage());
      calls.schedule(() -> rebooted.remove(key(host)), 1, TimeUnit.SECONDS);
    }
  }

  private void logAlerts(List<Decision> alerts) {
    for (Decision alert : alerts) {
      if (alert.offset() > alertedOffset) {
        raisedAlerts.inc();
        LOGGER.warn(
            "alert at offset {}: {} {}: {}",
            alert.offset(),
            alert.subject().kind(),
            alert.subject().id(),
            alert.figures());
      }
    }
    alertedOffset = alerts.stream().mapToLong(Decision::offset).max().orElse(alertedOffset);
  }
}
