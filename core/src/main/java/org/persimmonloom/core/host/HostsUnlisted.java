package org.persimmonloom.core.host;

import java.util.List;
import java.util.Objects;
import org.persimmonloom.core.fold.Proposal;

/**
 * Marks hosts that disappeared from the host list in a mass event, or that are listed again after
 * one.
 *
 * @param domain the rack or data centre whose hosts disappeared, or the whole list
 * @param isUnlisted true if the hosts disappeared; false if they are listed again
 */
public record HostsUnlisted(List<String> hosts, String domain, boolean isUnlisted)
    implements Proposal {
  public HostsUnlisted {
    hosts = List.copyOf(hosts);
    Objects.requireNonNull(domain, "domain");
  }
}
