package org.persimmonloom.core.maintenance;

import java.util.Comparator;
import org.persimmonloom.core.host.Host;

/**
 * The order of a wave: data centre by data centre and rack by rack, so that a fault that comes with
 * the maintenance shows in one rack before it reaches the next.
 */
final class HostOrder {
  static final Comparator<Host> BY_RACK =
      Comparator.comparing((Host host) -> host.facts().dataCentre())
          .thenComparing(host -> host.facts().rack())
          .thenComparing(Host::name);

  private HostOrder() {}

  /** Returns the rack with its data centre, since rack names are unique only within one. */
  static String rackOf(Host host) {
    return host.facts().dataCentre() + "/" + host.facts().rack();
  }
}
