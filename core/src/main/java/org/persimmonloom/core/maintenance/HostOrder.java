package org.persimmonloom.core.maintenance;

import java.util.Comparator;
import org.persimmonloom.core.host.Host;

/**
 * The order in which a wave maintains hosts: by data centre, rack and name. A fault introduced by
 * the maintenance is then noticed in one rack before the wave reaches the next.
 */
final class HostOrder {
  static final Comparator<Host> BY_RACK =
      Comparator.comparing((Host host) -> host.facts().dataCentre())
          .thenComparing(host -> host.facts().rack())
          .thenComparing(Host::name);

  private HostOrder() {}

  /** Returns the rack qualified by its data centre; rack names are unique only within one. */
  static String rackOf(Host host) {
    return host.facts().dataCentre() + "/" + host.facts().rack();
  }
}
