package org.persimmonloom.runtime.caller;

import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.ClusterView;

/**
 * Passes what peers report as leaving on to routing.
 *
 * <p>A peer that reports a large part of all hosts has lost its own network rather than seen that
 * many hosts leave, so such a report is ignored; otherwise one cut-off entry host would stop the
 * work of all others. Called on the thread of the peer mesh.
 */
@Singleton
public final class PeerLeavingReports implements ClusterView.Listener {
  /** Reports of this many hosts or fewer are always believed. */
  static final int MIN_REPORT_LIMIT = 2;

  /** A larger report is believed up to one in this many of all hosts. */
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
