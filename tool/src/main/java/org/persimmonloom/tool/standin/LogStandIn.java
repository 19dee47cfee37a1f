package org.persimmonloom.tool.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.log.HttpPlatformLog;
import org.persimmonloom.runtime.log.LogPage;

/**
 * Stands in for the platform's log in tests and demos: keeps the records in memory and speaks the
 * protocol of {@link HttpPlatformLog}. Safe for any thread.
 */
public final class LogStandIn {
  private final Codec codec = new Codec(Map.of());
  private final List<byte[]> records = new ArrayList<>();
  private final InetSocketAddress address;
  private Undertow server;

  /** Creates a log that will listen at {@code address}. */
  public LogStandIn(InetSocketAddress address) {
    this.address = address;
  }

  /** Starts listening. */
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(new BlockingHandler(this::handle))
            .build();
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
    if (exchange.getRequestPath().equals("/append")) {
      byte[] record = exchange.getInputStream().readAllBytes();
      send(exchange, new HttpPlatformLog.Appended(append(record)));
    } else {
      send(
          exchange,
          read(number(exchange, "from"), (int) number(exchange, "max"), number(exchange, "wait")));
    }
  }

  private static long number(HttpServerExchange exchange, String name) {
    return Long.parseLong(exchange.getQueryParameters().get(name).getFirst());
  }

  private void send(HttpServerExchange exchange, Object value) {
    exchange.getResponseSender().send(ByteBuffer.wrap(codec.encode(value)));
  }

  private synchronized long append(byte[] record) {
    records.add(record);
    notifyAll();
    return records.size() - 1L;
  }

  private synchronized LogPage read(long from, int max, long waitMillis)
      throws InterruptedException {
    long deadline = System.nanoTime() + waitMillis * 1_000_000;
    while (records.size() <= from) {
      long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
      if (leftMillis <= 0) {
        break;
      }
      wait(leftMillis);
    }
    int start = (int) Math.min(from, records.size());
    int end = Math.min(records.size(), start + max);
    return new LogPage(0, records.size(), start, List.copyOf(records.subList(start, end)));
  }
}
