package org.persimmonloom.runtime.caller;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.ThreadLocalRandom;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.endpoint.EndpointAnswer;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.settings.EntrySettings;

/** The HTTP listener for callers. Safe for any thread. */
@Singleton
public final class CallerListener {
  /** Answer header with the number of the result code. */
  public static final HttpString RESULT = new HttpString("Persimmonloom-Result");

  /** Answer header that says whether the request ran. */
  public static final HttpString RUN = new HttpString("Persimmonloom-Run");

  private static final Set<String> HOP_HEADERS =
      Set.of("connection", "transfer-encoding", "content-length", "keep-alive", "date");
  private static final long MAX_BODY_BYTES = 1 << 20;

  private final EntrySettings settings;
  private final ReplicatedState state;
  private final EndpointClient endpoints;
  private Undertow server;

  @Inject
  public CallerListener(EntrySettings settings, ReplicatedState state, EndpointClient endpoints) {
    this.settings = settings;
    this.state = state;
    this.endpoints = endpoints;
  }

  /** Starts listening. */
  public void start() {
    InetSocketAddress address = settings.callerAddress();
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

  private void handle(HttpServerExchange exchange) throws IOException {
    exchange.setMaxEntitySize(MAX_BODY_BYTES);
    byte[] body = exchange.getInputStream().readAllBytes();
    String name = firstSegment(exchange.getRequestPath());
    Optional<ServiceDefinition> service = state.read(fleet -> fleet.releases().service(name));
    if (service.isEmpty()) {
      refuse(exchange, 404, Failure.of(ResultCode.SERVICE_UNKNOWN, name));
      return;
    }
    List<Host> hosts =
        state.read(
            fleet ->
                fleet.hosts().inPool(service.get().pool()).stream()
                    .filter(host -> host.state() == HostState.AVAILABLE)
                    .toList());
    if (hosts.isEmpty()) {
      refuse(exchange, 503, Failure.of(ResultCode.NO_ENDPOINT, name));
      return;
    }
    Host host = hosts.get(ThreadLocalRandom.current().nextInt(hosts.size()));
    forward(exchange, service.get(), host, body);
  }

  private static String firstSegment(String path) {
    int end = path.indexOf('/', 1);
    return end < 0 ? path.substring(1) : path.substring(1, end);
  }

  private void forward(
      HttpServerExchange exchange, ServiceDefinition service, Host host, byte[] body) {
    String query = exchange.getQueryString();
    String target = exchange.getRequestPath() + (query.isEmpty() ? "" : "?" + query);
    try {
      EndpointAnswer answer =
          endpoints.send(
              host.facts().address(),
              exchange.getRequestMethod().toString(),
              target,
              body,
              UUID.randomUUID().toString(),
              service.deadlineMillis());
      exchange.setStatusCode(answer.status());
      answer.headers().stream()
          .filter(
              header -> !HOP_HEADERS.contains(header.getKey().toLowerCase(java.util.Locale.ROOT)))
          .forEach(
              header ->
                  exchange
                      .getResponseHeaders()
                      .add(new HttpString(header.getKey()), header.getValue()));
      exchange.getResponseHeaders().put(RESULT, ResultCode.OK.number());
      exchange.getResponseHeaders().put(RUN, RunOutcome.RAN.headerValue());
      exchange.getResponseSender().send(ByteBuffer.wrap(answer.body()));
    } catch (IOException e) {
      answer(
          exchange,
          502,
          Failure.of(ResultCode.OUTCOME_UNKNOWN, e.getMessage()),
          RunOutcome.UNKNOWN);
    }
  }

  private static void refuse(HttpServerExchange exchange, int status, Failure failure) {
    answer(exchange, status, failure, RunOutcome.NOT_RUN);
  }

  private static void answer(
      HttpServerExchange exchange, int status, Failure failure, RunOutcome outcome) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(RESULT, failure.code().number());
    exchange.getResponseHeaders().put(RUN, outcome.headerValue());
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
    exchange.getResponseSender().send(failure + "\n");
  }
}
