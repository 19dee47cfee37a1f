package org.persimmonloom.tool.standin;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.xnio.IoUtils;

/**
 * Stands in for an executor of a service, with slots, a queue in front of them and a limit on
 * connections. Safe for any thread.
 *
 * <p>The query chooses the run: {@code run} is its time in milliseconds, {@code key} and {@code
 * try} identify the caller's request. The answer is {@link #answerText} of the key and the path, so
 * that its caller can tell whether it is whole and its own. Each execution is reported when it
 * begins, whether or not its answer arrives.
 */
public final class EndpointStandIn {
  /** Requests that run at once. */
  public static final int SLOTS = 8;

  /** Connections that are accepted at once; more are closed. */
  public static final int CONNECTIONS = 64;

  /** Delay of a late answer; longer than the deadline of a short request. */
  public static final long LATE_MILLIS = 6_000;

  private static final HttpString ATTEMPT = new HttpString(EndpointClient.ATTEMPT_HEADER);
  private static final HttpString KEY = new HttpString("Persimmonloom-Request-Key");

  private final String name;
  private final Consumer<Execution> listener;
  private final StandInServer server;
  private final SlotQueue slots = new SlotQueue(SLOTS);
  private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
  private final Set<ServerConnection> silent = ConcurrentHashMap.newKeySet();
  private final AtomicInteger silentWanted = new AtomicInteger();
  private volatile EndpointFault fault = EndpointFault.NONE;
  private volatile double faultShare = 1;
  private volatile Answer previous = new Answer("previous", "answer to nobody");

  /** What an answer carries. */
  private record Answer(String attempt, String text) {}

  /** Creates an endpoint that will listen at {@code address} and report its executions. */
  public EndpointStandIn(String name, InetSocketAddress address, Consumer<Execution> listener) {
    this.name = name;
    this.listener = listener;
    this.server = new StandInServer(address, this::handle);
  }

  /** Starts listening. */
  public void start() {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    server.stop();
    connections.forEach(IoUtils::safeClose);
  }

  /** Switches to a fault for a share of the requests, from 0 to 1. */
  public void setFault(EndpointFault next, double share) {
    faultShare = share;
    fault = next;
  }

  /**
   * Makes the connections that carry the next {@code count} requests silent for good: they stay
   * open and are never answered on, while other connections work.
   */
  public void silenceConnections(int count) {
    silentWanted.addAndGet(count);
  }

  /** Returns the number of connections that are silent and still open. */
  public int silentConnections() {
    return silent.size();
  }

  /** Returns the text that answers the request with this key and path. */
  public static String answerText(String key, String path) {
    String head = key + " " + path + " ";
    return head + Integer.toHexString(head.hashCode()).repeat(16) + " end";
  }

  private void handle(HttpServerExchange exchange) {
    ServerConnection connection = exchange.getConnection();
    if (connections.add(connection)) {
      connection.addCloseListener(
          closed -> {
            connections.remove(closed);
            silent.remove(closed);
          });
      if (connections.size() > CONNECTIONS) {
        IoUtils.safeClose(connection);
        return;
      }
    }
    if (silent.contains(connection) || takeSilent()) {
      silent.add(connection);
      exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {});
      return;
    }
    exchange
        .getRequestReceiver()
        .receiveFullBytes(
            (received, body) ->
                received.dispatch(SameThreadExecutor.INSTANCE, () -> accept(received)));
  }

  private boolean takeSilent() {
    return silentWanted.getAndUpdate(wanted -> Math.max(0, wanted - 1)) > 0;
  }

  private void accept(HttpServerExchange exchange) {
    EndpointFault active =
        ThreadLocalRandom.current().nextDouble() < faultShare ? fault : EndpointFault.NONE;
    if (active == EndpointFault.FAIL_EVERYTHING) {
      exchange.setStatusCode(500);
      echo(exchange, header(exchange, ATTEMPT));
      exchange.endExchange();
      return;
    }
    long arrivedMillis = System.currentTimeMillis();
    slots.submit(
        Long.parseLong(query(exchange, "run", "0")),
        () -> listener.accept(execution(exchange, arrivedMillis)),
        () -> finish(exchange, active));
  }

  private Execution execution(HttpServerExchange exchange, long arrivedMillis) {
    String[] segments = exchange.getRequestPath().split("/", 3);
    return new Execution(
        name,
        segments.length > 1 ? segments[1] : "",
        key(exchange),
        Integer.parseInt(query(exchange, "try", "0")),
        header(exchange, ATTEMPT),
        arrivedMillis,
        System.currentTimeMillis());
  }

  private void finish(HttpServerExchange exchange, EndpointFault active) {
    Answer own =
        new Answer(header(exchange, ATTEMPT), answerText(key(exchange), exchange.getRequestPath()));
    Answer last = previous;
    previous = own;
    switch (active) {
      case LATE_ANSWER -> SlotQueue.later(LATE_MILLIS, () -> send(exchange, own));
      case CROSSED_ANSWER -> send(exchange, last);
      case SHORT_ANSWER -> sendHalf(exchange, own);
      default -> send(exchange, own);
    }
  }

  private static void send(HttpServerExchange exchange, Answer answer) {
    echo(exchange, answer.attempt());
    exchange.getResponseSender().send(bytes(answer));
  }

  private static void sendHalf(HttpServerExchange exchange, Answer answer) {
    ByteBuffer whole = bytes(answer);
    echo(exchange, answer.attempt());
    exchange.setResponseContentLength(whole.remaining());
    whole.limit(whole.remaining() / 2);
    exchange
        .getResponseSender()
        .send(
            whole,
            new IoCallback() {
              @Override
              public void onComplete(HttpServerExchange sent, Sender sender) {
                IoUtils.safeClose(sent.getConnection());
              }

              @Override
              public void onException(HttpServerExchange sent, Sender sender, IOException e) {
                IoUtils.safeClose(sent.getConnection());
              }
            });
  }

  private static ByteBuffer bytes(Answer answer) {
    return ByteBuffer.wrap(answer.text().getBytes(StandardCharsets.UTF_8));
  }

  private static void echo(HttpServerExchange exchange, String attempt) {
    if (!attempt.isEmpty()) {
      exchange.getResponseHeaders().put(ATTEMPT, attempt);
    }
  }

  private static String key(HttpServerExchange exchange) {
    return query(exchange, "key", header(exchange, KEY));
  }

  private static String header(HttpServerExchange exchange, HttpString header) {
    String value = exchange.getRequestHeaders().getFirst(header);
    return value == null ? "" : value;
  }

  private static String query(HttpServerExchange exchange, String parameter, String fallback) {
    Deque<String> values = exchange.getQueryParameters().get(parameter);
    return values == null ? fallback : values.getFirst();
  }
}
