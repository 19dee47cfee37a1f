package org.persimmonloom.runtime.operator;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RoutingHandler;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import java.util.Set;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * The HTTP listener for operators, health checks and metrics.
 *
 * <p>Each {@link OperatorRoute} answers with JSON and needs the operator token; {@code /healthz},
 * {@code /readyz} and {@code /metrics} are open. Safe for any thread.
 */
@Singleton
public final class OperatorListener {
  private static final long MAX_BODY_BYTES = 256 * 1024;

  private final EntrySettings settings;
  private final Readiness readiness;
  private final PrometheusRegistry metrics;
  private final Set<OperatorRoute> routes;
  private Undertow server;

  @Inject
  public OperatorListener(
      EntrySettings settings,
      Readiness readiness,
      PrometheusRegistry metrics,
      Set<OperatorRoute> routes) {
    this.settings = settings;
    this.readiness = readiness;
    this.metrics = metrics;
    this.routes = routes;
  }

  /** Starts listening. */
  public void start() {
    RoutingHandler handler = Handlers.routing();
    handler.get("/healthz", exchange -> exchange.getResponseSender().send("ok\n"));
    handler.get("/readyz", this::ready);
    handler.get("/metrics", this::metrics);
    for (OperatorRoute route : routes) {
      handler.add(route.method(), route.path(), new BlockingHandler(guarded(route)));
    }
    InetSocketAddress address = settings.operatorAddress();
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(handler)
            .build();
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  private void ready(HttpServerExchange exchange) {
    Optional<String> reason = readiness.reasonNotReady();
    exchange.setStatusCode(reason.isEmpty() ? 200 : 503);
    exchange.getResponseSender().send(reason.orElse("ready") + "\n");
  }

  private void metrics(HttpServerExchange exchange) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    PrometheusTextFormatWriter.create().write(text, metrics.scrape());
    exchange
        .getResponseHeaders()
        .put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
    exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
  }

  private HttpHandler guarded(OperatorRoute route) {
    return exchange -> {
      if (!isAuthorized(exchange)) {
        send(exchange, 401, Failure.of(ResultCode.UNAUTHORIZED));
        return;
      }
      exchange.setMaxEntitySize(MAX_BODY_BYTES);
      String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
      route
          .handle(new OperatorRequest(exchange.getQueryParameters(), body))
          .peek(value -> send(exchange, 200, value))
          .peekLeft(failure -> send(exchange, 409, failure));
    };
  }

  private boolean isAuthorized(HttpServerExchange exchange) {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    String expected = "Bearer " + settings.operatorToken();
    return header != null
        && MessageDigest.isEqual(
            header.getBytes(StandardCharsets.UTF_8), expected.getBytes(StandardCharsets.UTF_8));
  }

  private static void send(HttpServerExchange exchange, int status, Object value) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(ProposalTypes.CODEC.toJson(value) + "\n");
  }
}
