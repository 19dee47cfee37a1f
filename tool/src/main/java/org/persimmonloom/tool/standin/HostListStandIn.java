package org.persimmonloom.tool.standin;

import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.fleet.HostList;

/**
 * Stands in for the platform's host list and its reboots. Readers see a change once it is older
 * than the lag. A rebooted host vanishes from the list until its reboot time is over; a repeated
 * attempt reboots nothing. Safe for any thread.
 */
public final class HostListStandIn {
  private final Codec codec = new Codec(Map.of());
  private final StandInServer server;
  private final ArrayDeque<Version> versions = new ArrayDeque<>();
  private final Set<String> vanished = new HashSet<>();
  private final Set<String> attempts = new HashSet<>();
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "host-list-stand-in");
            thread.setDaemon(true);
            return thread;
          });
  private HostList list;
  private long lagMillis;
  private long rebootMillis = 2_000;
  private Consumer<String> rebootListener = host -> {};

  private record Version(long timeMillis, HostList list) {}

  /** Creates a list that will be served at {@code address}. */
  public HostListStandIn(InetSocketAddress address, HostList list) {
    server = new StandInServer(address, this::handle);
    this.list = list;
    versions.add(new Version(0, list));
  }

  /** Sets after how many milliseconds readers see a change. */
  public synchronized void setLagMillis(long millis) {
    lagMillis = millis;
  }

  /** Replaces the list; readers get it after the lag. */
  public synchronized void set(HostList next) {
    list = next;
    publish();
  }

  private void publish() {
    List<HostFacts> live = new ArrayList<>(list.live());
    live.removeIf(facts -> vanished.contains(facts.name()));
    versions.add(new Version(System.currentTimeMillis(), new HostList(live, list.leaving())));
  }

  /** Sets how long a rebooted host is away; a host never returns if this is negative. */
  public synchronized void setRebootMillis(long millis) {
    rebootMillis = millis;
  }

  /** Sets a listener that is told of each reboot that takes place, with the host's name. */
  public synchronized void onReboot(Consumer<String> listener) {
    rebootListener = listener;
  }

  /** Names a host as leaving, or takes the mark back. */
  public synchronized void setLeaving(String host, boolean isLeaving) {
    Set<String> leaving = new HashSet<>(list.leaving());
    boolean unused = isLeaving ? leaving.add(host) : leaving.remove(host);
    set(new HostList(list.live(), leaving));
  }

  /** Takes a host off the list. */
  public synchronized void vanish(String host) {
    vanished.add(host);
    publish();
  }

  /** Puts a vanished host back on the list. */
  public synchronized void restore(String host) {
    vanished.remove(host);
    publish();
  }

  /** Returns the number of reboots that took place. */
  public synchronized int rebootCount() {
    return attempts.size();
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

  private void handle(HttpServerExchange exchange) {
    if (exchange.getRequestPath().equals("/reboot")) {
      var parameters = exchange.getQueryParameters();
      reboot(parameters.get("host").getFirst(), parameters.get("attempt").getFirst());
    } else {
      exchange.getResponseSender().send(codec.toJson(visible(System.currentTimeMillis())));
    }
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
