package org.persimmonloom.tool.standin;

import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.fleet.HostList;

/**
 * Stands in for the platform's host list and its reboots. Readers see a change once it is older
 * than the lag. A rebooted host is off the list until its reboot time is over; a repeated attempt
 * reboots nothing. Safe for any thread.
 */
public final class HostListStandIn {
  private final Codec codec = new Codec(Map.of());
  private final StandInServer server;
  private final ArrayDeque<Version> versions = new ArrayDeque<>();
  private final TreeMap<String, HostFacts> vanished = new TreeMap<>();
  private final Set<String> attempts = new HashSet<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "host-list-stand-in");
            thread.setDaemon(true);
            return thread;
          });
  private long lagMillis;
  private long rebootMillis = 2_000;
  private Consumer<String> rebootListener = host -> {};

  private record Version(long timeMillis, HostList list) {}

  /** Creates a list that will be served at {@code address}. */
  public HostListStandIn(InetSocketAddress address, HostList list) {
    server = new StandInServer(address, this::handle);
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
    setLeaving(host, true);
  }

  /** Marks a live host as leaving, or takes the mark back. */
  public synchronized void setLeaving(String host, boolean isLeaving) {
    HostList latest = versions.getLast().list();
    Set<String> leaving = new HashSet<>(latest.leaving());
    leaving.remove(host);
    if (isLeaving) {
      leaving.add(host);
    }
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

  /** Sets how long a rebooted host is away; a host never returns if this is negative. */
  public synchronized void setRebootMillis(long millis) {
    rebootMillis = millis;
  }

  /** Sets a listener that is told of each reboot that takes place, with the host's name. */
  public synchronized void onReboot(Consumer<String> listener) {
    rebootListener = listener;
  }

  /** Takes a host off the list. */
  public synchronized void vanish(String host) {
    HostList latest = versions.getLast().list();
    List<HostFacts> live = new ArrayList<>(latest.live());
    for (HostFacts facts : latest.live()) {
      if (facts.name().equals(host)) {
        live.remove(facts);
        vanished.put(host, facts);
      }
    }
    set(new HostList(live, latest.leaving()));
  }

  /** Puts a vanished host back on the list. */
  public synchronized void restore(String host) {
    HostFacts facts = vanished.remove(host);
    if (facts != null) {
      HostList latest = versions.getLast().list();
      List<HostFacts> live = new ArrayList<>(latest.live());
      live.add(facts);
      set(new HostList(live, latest.leaving()));
    }
  }

  /** Returns the number of reboots that took place. */
  public synchronized int rebootCount() {
    return attempts.size();
  }

  private void handle(HttpServerExchange exchange) {
    if (exchange.getRequestPath().equals("/reboot")) {
      var parameters = exchange.getQueryParameters();
      reboot(parameters.get("host").getFirst(), parameters.get("attempt").getFirst());
    } else {
      exchange.getResponseSender().send(codec.toJson(visible(System.currentTimeMillis())));
    }
  }

  private void reboot(String host, String attempt) {
    Consumer<String> listener;
    synchronized (this) {
      if (!attempts.add(attempt)) {
        return;
      }
      vanish(host);
      if (rebootMillis >= 0) {
        timer.schedule(() -> restore(host), rebootMillis, TimeUnit.MILLISECONDS);
      }
      listener = rebootListener;
    }
    listener.accept(host);
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
    timer.shutdownNow();
  }
}
