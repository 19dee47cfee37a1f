package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Entry hosts registered in the platform's log, with their peer addresses and processor time. A
 * host that is killed stays registered. Safe for any thread.
 */
final class HostDirectory implements TableFollower.Listener {
  private static final Logger LOG = LogManager.getLogger(HostDirectory.class);

  private final String ownName;
  private final Codec codec = new Codec(Map.of());
  private TreeMap<String, HostRecord> hosts = new TreeMap<>();
  private String preferredAddress = "";

  HostDirectory(String ownName) {
    this.ownName = ownName;
  }

  /** Returns the record with which this host registers. */
  TableRecord registration(HostRecord own) {
    return new TableRecord(ownName, codec.encode(own));
  }

  /** Returns the record with which this host withdraws its registration. */
  TableRecord removal() {
    return new TableRecord(ownName, null);
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    applyTo(hosts, stored);
  }

  private void applyTo(Map<String, HostRecord> target, StoredRecord stored) {
    String name = stored.record().key();
    byte[] value = stored.record().value();
    if (value == null) {
      target.remove(name);
      return;
    }
    codec
        .decode(value, HostRecord.class)
        .filterOrElse(
            HostRecord::hasValidAddress,
            host -> Failure.of(ResultCode.DECODE_FAILED, "address " + host.address()))
        .peek(host -> target.put(name, host))
        .peekLeft(failure -> LOG.warn("event=host_unreadable name={} cause={}", name, failure));
  }

  @Override
  public TableFollower.Load beginLoad() {
    TreeMap<String, HostRecord> loaded = new TreeMap<>();
    return TableFollower.Load.of(stored -> applyTo(loaded, stored), () -> replaceHosts(loaded));
  }

  private synchronized void replaceHosts(TreeMap<String, HostRecord> loaded) {
    hosts = loaded;
  }

  /** Returns the addresses of the other hosts; the preferred one comes first. */
  synchronized List<String> otherAddresses() {
    List<String> otherAddresses = new ArrayList<>();
    hosts.forEach(
        (name, host) -> {
          if (!name.equals(ownName)) {
            otherAddresses.add(host.address());
          }
        });
    if (otherAddresses.remove(preferredAddress)) {
      otherAddresses.add(0, preferredAddress);
    }
    return otherAddresses;
  }

  /** Returns the maximum processor time of a registered host, in cores; 0 if none is registered. */
  synchronized double maxProcessors() {
    return hosts.values().stream().mapToDouble(HostRecord::processors).max().orElse(0);
  }

  /**
   * Returns the addresses of the other hosts with at least {@code minProcessors} cores, in
   * descending order of processor time.
   */
  synchronized List<String> otherAddressesWith(double minProcessors) {
    return hosts.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(ownName))
        .map(Map.Entry::getValue)
        .filter(host -> host.processors() >= minProcessors)
        .sorted(Comparator.comparingDouble((HostRecord host) -> -host.processors()))
        .map(HostRecord::address)
        .toList();
  }

  /** Prefers the host at the given address for later requests. */
  synchronized void recordSuccess(String address) {
    preferredAddress = address;
  }

  /** Records that a request to a host failed; the next host becomes the preferred one. */
  synchronized void recordFailure(String address) {
    if (preferredAddress.equals(address) || preferredAddress.isEmpty()) {
      List<String> addresses = hosts.values().stream().map(HostRecord::address).toList();
      int index = addresses.indexOf(address);
      preferredAddress =
          addresses.isEmpty() ? "" : addresses.get(Math.floorMod(index + 1, addresses.size()));
    }
  }
}
