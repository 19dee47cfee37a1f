package org.persimmonloom.tool.standin;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.fleet.HostList;

/**
 * Stands in for the platform's host list. Readers see a change once it is older than the lag. Safe
 * for any thread.
 */
public final class HostListStandIn {
  private final Codec codec = new Codec(Map.of());
  private final StandInServer server;
  private final ArrayDeque<Version> versions = new ArrayDeque<>();
  private long lagMillis;

  private record Version(long timeMillis, HostList list) {}

  /** Creates a list that will be served at {@code address}. */
  public HostListStandIn(InetSocketAddress address, HostList list) {
    server =
        new StandInServer(
            address,
            exchange ->
                exchange
                    .getResponseSender()
                    .send(codec.toJson(visible(System.currentTimeMillis()))));
    versions.add(new Version(0, list));
  }

  /** Sets after how many milliseconds readers see a change. */
  public synchronized void setLagMillis(long millis) {
    lagMillis = millis;
  }

  /** Replaces the list; readers get it after the lag. */
  public synchronized void set(HostList next) {
    versions.add(new Version(System.currentTimeMillis(), next));
  }

  /** Marks a live host as leaving. */
  public synchronized void setLeaving(String host) {
    HostList latest = versions.getLast().list();
    Set<String> leaving = new HashSet<>(latest.leaving());
    leaving.add(host);
    set(new HostList(latest.live(), leaving));
  }

  synchronized HostList visible(long nowMillis) {
    HostList visible = versions.getFirst().list();
    for (Version version : versions) {
      if (version.timeMillis() + lagMillis <= nowMillis) {
        visible = version.list();
      }
    }
    return visible;
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }
}
