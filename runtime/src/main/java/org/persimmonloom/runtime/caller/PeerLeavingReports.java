package org.persimmonloom.runtime.caller;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.ClusterView;

/**
 * Passes the hosts that peers report as leaving on to routing.
 *
 * <p>A report of a large part of all hosts more likely means that the peer lost its own network, so
 * it is ignored. Otherwise one disconnected entry host would stop the work of all others. Called on
 * the thread of the peer mesh.
 */
@Singleton
public final class PeerLeavingReports implements ClusterView.Listener {
  /** Reports of up to this many hosts are always accepted. */
  static final int MIN_REPORT_LIMIT = 2;

  /** A larger report is accepted if it names at most the number of all hosts divided by this. */
  static final int REPORT_LIMIT_DIVISOR = 4;

  private final LeavingHosts leaving;
  private final ReplicatedState state;
  private Set<String> reporters = Set.of();

  @Inject
  public PeerLeavingReports(LeavingHosts leaving, ReplicatedState state) {
    this.leaving = leaving;
    this.state = state;
  }

  @Override
  public synchronized void changed(ClusterView view) {
    int hostCount = state.read(fleet -> fleet.hosts().all().size());
    int limit = Math.max(MIN_REPORT_LIMIT, hostCount / REPORT_LIMIT_DIVISOR);
    Map<String, Set<String>> reports = view.leavingByPeer();
    Set<String> peers = new TreeSet<>(reporters);
    peers.addAll(reports.keySet());
    for (String peer : peers) {
      Set<String> report = reports.getOrDefault(peer, Set.of());
      leaving.setPeerReport(peer, report.size() <= limit ? report : Set.of());
    }
    reporters = Set.copyOf(reports.keySet());
  }
}
