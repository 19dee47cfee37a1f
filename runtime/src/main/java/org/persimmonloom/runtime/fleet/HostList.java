package org.persimmonloom.runtime.fleet;

import java.util.List;
import java.util.Set;
import org.persimmonloom.core.host.HostFacts;

/**
 * One reading of the platform's host list.
 *
 * @param live the hosts that the platform believes to be live
 * @param leaving names of live hosts that are about to leave
 */
public record HostList(List<HostFacts> live, Set<String> leaving) {
  public HostList {
    live = List.copyOf(live);
    leaving = Set.copyOf(leaving);
  }
}
