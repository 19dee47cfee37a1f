package org.persimmonloom.runtime.workflow;

import java.util.List;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Relays appends to the ownership table through the hosts of the directory, one after the other.
 * Safe for any thread.
 */
final class PeerOwnershipRelay implements OwnershipRelay {
  /** Several, since a store that turns this host away may turn others away too. */
  private static final int MAX_PEERS_TRIED = 3;

  private final PeerClient peers;
  private final HostDirectory hosts;

  PeerOwnershipRelay(PeerClient peers, HostDirectory hosts) {
    this.peers = peers;
    this.hosts = hosts;
  }

  @Override
  public AppendResult appendAt(long expectedEnd, TableRecord record) {
    AppendResult result = new AppendResult.Refused("no other host");
    boolean isUncertain = false;
    List<String> addresses = hosts.otherAddresses();
    for (String address : addresses.subList(0, Math.min(MAX_PEERS_TRIED, addresses.size()))) {
      result = peers.appendOwnership(address, expectedEnd, record);
      boolean isAnswered =
          result instanceof AppendResult.Appended || result instanceof AppendResult.Conflict;
      if (isAnswered) {
        hosts.recordSuccess(address);
        return result;
      }
      hosts.recordFailure(address);
      isUncertain |= result instanceof AppendResult.Unknown;
    }
    return isUncertain ? new AppendResult.Unknown("no answer of other hosts") : result;
  }
}
