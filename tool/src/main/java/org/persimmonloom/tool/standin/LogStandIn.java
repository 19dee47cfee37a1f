package org.persimmonloom.tool.standin;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.OptionalLong;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.log.HttpPlatformLog;

/**
 * Stands in for the platform's log in tests and demos: keeps the records in memory and speaks the
 * protocol of {@link HttpPlatformLog}. A refused request gets status 503 and a request beyond the
 * limit of appends gets 429; neither has an effect. Safe for any thread.
 */
public final class LogStandIn {
  private final Codec codec = new Codec(Map.of());
  private final RecordStore store = new RecordStore();
  private final LogFaults faults = new LogFaults();
  private final StandInServer server;

  /** Creates a log that will listen at {@code address}. */
  public LogStandIn(InetSocketAddress address) {
    server = new StandInServer(address, new BlockingHandler(this::handle));
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  /** Returns the switches of the faults. */
  public LogFaults faults() {
    return faults;
  }

  /** Sets how long records are kept, in milliseconds. */
  public void setRetentionMillis(long millis) {
    store.setRetentionMillis(millis);
  }

  /** Returns how many appends took effect. */
  public long appends() {
    return store.nextOffset();
  }

  /** Returns how many appends were refused because of the limit. */
  public long refusedAppends() {
    return store.refusedAppends();
  }

  /** Returns the highest number of appends in one second. */
  public int highestAppendsInSecond() {
    return store.highestAppendsInSecond();
  }

  private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
    if (exchange.getRequestPath().equals("/append")) {
      append(exchange);
    } else {
      read(exchange);
    }
  }

  private void append(HttpServerExchange exchange) throws IOException, InterruptedException {
    byte[] record = exchange.getInputStream().readAllBytes();
    Thread.sleep(faults.appendLatencyMillis());
    if (faults.isOut()) {
      exchange.setStatusCode(503);
      return;
    }
    OptionalLong offset =
        store.append(record, faults.appendsPerSecond(), System.currentTimeMillis());
    if (offset.isEmpty()) {
      exchange.setStatusCode(429);
    } else if (faults.losesAnswers()) {
      exchange.setStatusCode(503);
    } else {
      send(exchange, new HttpPlatformLog.Appended(offset.getAsLong()));
    }
  }

  private void read(HttpServerExchange exchange) throws InterruptedException {
    if (faults.isOut()) {
      exchange.setStatusCode(503);
      return;
    }
    send(
        exchange,
        store.read(
            number(exchange, "from"), (int) number(exchange, "max"), number(exchange, "wait")));
  }

  private static long number(HttpServerExchange exchange, String name) {
    return Long.parseLong(exchange.getQueryParameters().get(name).getFirst());
  }

  private void send(HttpServerExchange exchange, Object value) {
    exchange.getResponseSender().send(ByteBuffer.wrap(codec.encode(value)));
  }
}
