package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Hosts that vanished from the host list in a mass event, or are listed again after one.
 *
 * @param domain the rack, data centre or list whose hosts vanished
 * @param isUnlisted false once the list shows the hosts again
 */
public record HostsUnlisted(List<String> hosts, String domain, boolean isUnlisted)
    implements Proposal {
  public HostsUnlisted {
    hosts = List.copyOf(hosts);
    Objects.requireNonNull(domain, "domain");
  }
}
