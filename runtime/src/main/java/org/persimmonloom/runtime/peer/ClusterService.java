package org.persimmonloom.runtime.peer;

import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.member.CatchUpTarget;
import org.persimmonloom.core.member.CurrencyRule;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.Heartbeat;
import org.persimmonloom.core.member.LossDetector;
import org.persimmonloom.core.member.MeshPlan;
import org.persimmonloom.core.member.PeerView;
import org.persimmonloom.core.member.RelayPlan;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogStatus;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Applies the rules of membership to what the mesh hears and the fold knows. The mesh calls it on
 * its thread; {@link ClusterView}, {@link Currency} and {@link #heardMillisAgo} are safe for any
 * thread.
 */
@Singleton
public final class ClusterService implements MeshDelegate, ClusterView, Currency {
  private static final Logger LOGGER = LogManager.getLogger(ClusterService.class);

  private final EntrySettings settings;
  private final ReplicatedState state;
  private final GroupCommitter committer;
  private final LogStatus logStatus;
  private final LoadSource loads;
  private final LeavingSource leaving;
  private final InstantSource clock;
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private final PeerView view = new PeerView();
  private final CatchUpTarget goal = new CatchUpTarget();
  private final LossDetector lossRule;
  private final RelayPlan relayPlan = new RelayPlan();
  private List<EntryHost> registered = List.of();
  private volatile Map<String, String> addresses = Map.of();
  private volatile List<String> wantedPeers = List.of();
  private volatile List<Member> live = List.of();
  private volatile Map<String, Set<String>> leavingByPeer = Map.of();
  private volatile Standing standing = new Standing(CurrencyRule.Basis.NONE, 0, Long.MIN_VALUE);

  private record Standing(CurrencyRule.Basis basis, long decidedMillis, long untilMillis) {
    boolean holdsAt(long nowMillis) {
      return nowMillis >= decidedMillis && nowMillis <= untilMillis;
    }
  }

  @Inject
  public ClusterService(
      EntrySettings settings,
      ReplicatedState state,
      GroupCommitter committer,
      LogStatus logStatus,
      LoadSource loads,
      LeavingSource leaving,
      InstantSource clock) {
    this.settings = settings;
    this.lossRule = new LossDetector(settings.name());
    this.state = state;
    this.committer = committer;
    this.logStatus = logStatus;
    this.loads = loads;
    this.leaving = leaving;
    this.clock = clock;
  }

  @Override
  public void tick(long nowMillis) {
    List<EntryHost> hosts = state.read(fleet -> fleet.entryHosts().live());
    long foldTimeMillis = state.read(FleetState::timeMillis);
    List<EntryHostLost> losses;
    synchronized (this) {
      registered = hosts;
      view.setPeers(hosts.stream().map(EntryHost::name).toList(), nowMillis);
      relayPlan.setNames(hosts.stream().map(EntryHost::name).toList());
      losses = lossRule.lossesToPropose(hosts, view, foldTimeMillis, nowMillis);
      decideCurrency(nowMillis);
    }
    addresses =
        hosts.stream()
            .filter(host -> !host.name().equals(settings.name()))
            .collect(Collectors.toUnmodifiableMap(EntryHost::name, EntryHost::peerAddress));
    wantedPeers = MeshPlan.peersOf(settings.name(), hosts.stream().map(EntryHost::name).toList());
    if (!losses.isEmpty()) {
      LOGGER.warn("proposing as lost: {}", losses);
      committer.propose(losses);
    }
    publish(nowMillis);
  }

  private void decideCurrency(long nowMillis) {
    long logReadMillis = logStatus.readMillis().orElse(nowMillis - Heartbeat.NEVER);
    CurrencyRule.LocalState own =
        new CurrencyRule.LocalState(
            settings.name(), committer.incarnation(), state.nextOffset(), logReadMillis);
    CurrencyRule.Decision decision = CurrencyRule.decide(own, registered, view, nowMillis);
    if (decision.basis() != standing.basis()) {
      LOGGER.info("currency rests on {}, before on {}", decision.basis(), standing.basis());
    }
    standing = new Standing(decision.basis(), nowMillis, decision.untilMillis());
  }

  /**
   * Recomputes the published view and tells the listeners if hosts or leaving endpoints changed.
   */
  private void publish(long nowMillis) {
    List<Member> members;
    Map<String, Set<String>> reports = new TreeMap<>();
    synchronized (this) {
      members = registered.stream().flatMap(host -> member(host, nowMillis).stream()).toList();
      for (Member member : members) {
        view.find(member.name())
            .filter(heard -> !heard.heartbeat().leaving().isEmpty())
            .ifPresent(
                heard -> reports.put(member.name(), Set.copyOf(heard.heartbeat().leaving())));
      }
    }
    boolean isChanged =
        !identities(members).equals(identities(live)) || !reports.equals(leavingByPeer);
    live = members;
    leavingByPeer = Map.copyOf(reports);
    if (isChanged) {
      listeners.forEach(this::notify);
    }
  }

  private void notify(Listener listener) {
    try {
      listener.changed(this);
    } catch (RuntimeException e) {
      LOGGER.error("listener of the cluster view failed", e);
    }
  }

  private static Set<String> identities(List<Member> members) {
    return members.stream()
        .map(member -> member.name() + '/' + member.incarnation())
        .collect(Collectors.toSet());
  }

  private Optional<Member> member(EntryHost host, long nowMillis) {
    if (host.name().equals(settings.name())) {
      return Optional.of(
          new Member(
              host.name(), host.incarnation(), loads.loads(), Set.copyOf(leaving.drained())));
    }
    if (view.isSuspect(host.name(), nowMillis)) {
      return Optional.empty();
    }
    return view.find(host.name())
        .map(PeerView.ReceivedHeartbeat::heartbeat)
        .filter(heartbeat -> heartbeat.incarnation() == host.incarnation())
        .map(
            heartbeat ->
                new Member(
                    host.name(),
                    host.incarnation(),
                    heartbeat.loads(),
                    Set.copyOf(heartbeat.drained())));
  }

  @Override
  public Heartbeat heartbeat(long nowMillis) {
    long readAgoMillis =
        logStatus
            .readMillis()
            .map(millis -> Math.max(0, nowMillis - millis))
            .orElse(Heartbeat.NEVER);
    long nextOffset = state.nextOffset();
    long revision = state.read(fleet -> fleet.releases().current().number());
    return new Heartbeat(
        settings.name(),
        committer.incarnation(),
        nextOffset,
        revision,
        readAgoMillis,
        loads.loads(),
        leaving.leaving(),
        leaving.drained());
  }

  @Override
  public synchronized List<PeerMessage.Relayed> relayedTo(String peer, long nowMillis) {
    return relayPlan.choose(peer, view, nowMillis).stream()
        .map(heard -> new PeerMessage.Relayed(heard.heartbeat(), nowMillis - heard.aliveMillis()))
        .toList();
  }

  @Override
  public void heard(Heartbeat heartbeat, long heardMillis, boolean isDirect) {
    if (heartbeat.name().equals(settings.name())) {
      return;
    }
    synchronized (this) {
      view.receive(heartbeat, heardMillis, isDirect);
      goal.observePeer(heartbeat.name(), heartbeat.nextOffset());
    }
  }

  /** Returns whether this host has folded all that the log and its peers showed at its start. */
  public boolean isCaughtUp() {
    long nextOffset = state.nextOffset();
    synchronized (this) {
      logStatus.endOffset().ifPresent(goal::observeLogEnd);
      return goal.isReached(nextOffset);
    }
  }

  /**
   * Returns whether the fold holds this incarnation as registered and live. Without that, a drain
   * does not wait for this host. A registration ends only by a record in the log, so it outlasts an
   * outage of the log.
   */
  public boolean isRegistered() {
    long incarnation = committer.incarnation();
    return state.read(fleet -> fleet.entryHosts().isLive(settings.name(), incarnation));
  }

  /** Returns the latest heartbeat of each peer. */
  public synchronized List<PeerView.ReceivedHeartbeat> peers() {
    return List.copyOf(view.heartbeats());
  }

  @Override
  public Map<String, String> addresses() {
    return addresses;
  }

  @Override
  public List<String> wantedPeers() {
    return wantedPeers;
  }

  @Override
  public List<Member> live() {
    return live;
  }

  @Override
  public Map<String, Set<String>> leavingByPeer() {
    return leavingByPeer;
  }

  /**
   * Between two heartbeats the last decision may run out while another ground holds, so it is then
   * made again.
   */
  @Override
  public Optional<Failure> reasonNotCurrent() {
    long nowMillis = clock.millis();
    if (!standing.holdsAt(nowMillis)) {
      synchronized (this) {
        decideCurrency(nowMillis);
      }
    }
    return standing.holdsAt(nowMillis)
        ? Optional.empty()
        : Optional.of(Failure.of(ResultCode.NOT_CURRENT));
  }

  @Override
  public boolean isCurrent() {
    return reasonNotCurrent().isEmpty();
  }

  @Override
  public void addListener(Listener listener) {
    listeners.add(listener);
  }
}
