package org.persimmonloom.runtime.peer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.routing.ServiceLoad;

/** What this entry host knows about the others. Safe for any thread; never blocks for long. */
public interface ClusterView {
  /**
   * An entry host that takes part in the work.
   *
   * @param loads load of each service, by service name
   * @param drained draining hosts at which it has no work and sends none
   */
  record Member(
      String name, long incarnation, Map<String, ServiceLoad> loads, Set<String> drained) {
    public Member {
      loads = Map.copyOf(loads);
      drained = Set.copyOf(drained);
    }
  }

  /** Told on the thread of the peer mesh when the view changed. Must not block. */
  @FunctionalInterface
  interface Listener {
    /** Called after a host came or went, or a peer reported another set of leaving endpoints. */
    void changed(ClusterView view);
  }

  /**
   * Returns the registered entry hosts that are heard, with this one if it is registered, sorted by
   * name. A host that is silent for 2 s is not among them.
   */
  List<Member> live();

  /** Returns the endpoints that live peers saw leaving, by the peer's name. */
  Map<String, Set<String>> leavingByPeer();

  /** Returns whether this host may rely on its copy of the fleet state. */
  boolean isCurrent();

  /** Adds a listener. */
  void addListener(Listener listener);
}
