package org.persimmonloom.tool.standin;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.util.Map;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.fleet.HostList;

/** Stands in for the platform's host list. Safe for any thread. */
public final class HostListStandIn {
  private final Codec codec = new Codec(Map.of());
  private final InetSocketAddress address;
  private volatile HostList list;
  private Undertow server;

  /** Creates a list that will be served at {@code address}. */
  public HostListStandIn(InetSocketAddress address, HostList list) {
    this.address = address;
    this.list = list;
  }

  /** Replaces what readers get. */
  public void set(HostList next) {
    list = next;
  }

  /** Starts listening. */
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(exchange -> exchange.getResponseSender().send(codec.toJson(list)))
            .build();
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }
}
