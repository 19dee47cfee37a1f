package org.persimmonloom.runtime.workflow;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.persimmonloom.core.wire.Codec;

/**
 * HTTP server for metrics and for requests of other entry hosts that cannot use the platform's log;
 * see {@link PeerClient}.
 */
public final class PeerServer {
  /** Time after which a refused append of a peer's records is reported as not written. */
  private static final long APPEND_TIMEOUT_MILLIS = 200;

  /** Time after which an append without a result is reported as unknown. */
  private static final long RESPONSE_TIMEOUT_MILLIS = 700;

  private static final HttpString LOG_READ = new HttpString(PeerClient.LOG_READ_HEADER);
  private static final String METRICS_PATH = "/metrics";

  private final Codec codec = new Codec(Map.of());
  private final KeyedLog log;
  private final SubmissionService submissions;
  private final ConfigurationVerifier configuration;
  private final TableWriter writer;
  private final WorkflowMetrics metrics;
  private final BooleanSupplier mayClaim;
  private final LongSupplier clock;
  private final Undertow server;

  PeerServer(
      KeyedLog log,
      SubmissionService submissions,
      ConfigurationVerifier configuration,
      TableWriter writer,
      WorkflowMetrics metrics,
      BooleanSupplier mayClaim,
      LongSupplier clock,
      InetSocketAddress address) {
    this.log = log;
    this.mayClaim = mayClaim;
    this.submissions = submissions;
    this.configuration = configuration;
    this.writer = writer;
    this.metrics = metrics;
    this.clock = clock;
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(1)
            .setWorkerThreads(2)
            .setHandler(this::handle)
            .build();
  }

  void start() {
    server.start();
  }

  void stop() {
    server.stop();
  }

  private void handle(HttpServerExchange exchange) {
    String path = exchange.getRequestPath();
    if (path.equals(PeerClient.APPEND_PATH)) {
      exchange.getRequestReceiver().receiveFullBytes(this::handleAppend);
    } else if (path.equals(PeerClient.OWNERSHIP_PATH)) {
      exchange.getRequestReceiver().receiveFullBytes(this::handleOwnership);
    } else if (path.startsWith(PeerClient.STATE_PATH)) {
      exchange.dispatch(() -> sendState(exchange, path.substring(PeerClient.STATE_PATH.length())));
    } else if (path.equals(PeerClient.CANDIDATE_PATH)) {
      exchange.setStatusCode(mayClaim.getAsBoolean() ? 200 : 503).endExchange();
    } else if (path.equals(PeerClient.CONFIGURATION_PATH)) {
      handleConfiguration(exchange);
    } else if (path.equals(METRICS_PATH)) {
      exchange.dispatch(() -> sendMetrics(exchange));
    } else {
      exchange.setStatusCode(400).endExchange();
    }
  }

  private void sendMetrics(HttpServerExchange exchange) {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(text, metrics.registry().scrape());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    exchange
        .getResponseHeaders()
        .put(Headers.CONTENT_TYPE, PrometheusTextFormatWriter.CONTENT_TYPE);
    exchange.getResponseSender().send(ByteBuffer.wrap(text.toByteArray()));
  }

  private void handleAppend(HttpServerExchange exchange, byte[] body) {
    var records = codec.decode(body, PeerClient.Records.class);
    if (records.isLeft() || !records.get().areStorable()) {
      exchange.setStatusCode(400).endExchange();
      return;
    }
    exchange.dispatch(
        () -> {
          writer
              .append(records.get().records(), clock.getAsLong() + APPEND_TIMEOUT_MILLIS)
              .completeOnTimeout(null, RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
              .thenAccept(outcome -> respond(exchange, outcome));
        });
  }

  private void handleConfiguration(HttpServerExchange exchange) {
    OptionalLong version = number(exchange, PeerClient.VERSION_PARAMETER);
    OptionalLong maxAgeMillis = number(exchange, PeerClient.MAX_AGE_PARAMETER);
    if (version.isEmpty() || maxAgeMillis.isEmpty()) {
      exchange.setStatusCode(400).endExchange();
      return;
    }
    exchange.dispatch(
        () ->
            configuration
                .answerPeer(version.getAsLong(), maxAgeMillis.getAsLong())
                .thenAccept(
                    answer ->
                        answer.ifPresentOrElse(
                            known -> send(exchange, known),
                            () -> exchange.setStatusCode(503).endExchange())));
  }

  private static OptionalLong number(HttpServerExchange exchange, String parameter) {
    Deque<String> values = exchange.getQueryParameters().get(parameter);
    try {
      return values == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(values.peek()));
    } catch (NumberFormatException e) {
      return OptionalLong.empty();
    }
  }

  private void handleOwnership(HttpServerExchange exchange, byte[] body) {
    var append = codec.decode(body, PeerClient.OwnershipAppend.class);
    if (append.isLeft() || !append.get().record().hasStorableKey()) {
      exchange.setStatusCode(400).endExchange();
      return;
    }
    exchange.dispatch(
        () ->
            respondOwnership(
                exchange,
                log.appendAt(Table.OWNERSHIP, append.get().expectedEnd(), append.get().record())));
  }

  private void respondOwnership(HttpServerExchange exchange, AppendResult result) {
    if (result instanceof AppendResult.Appended appended) {
      send(exchange, new PeerClient.OwnershipAnswer(true, appended.end()));
    } else if (result instanceof AppendResult.Conflict conflict) {
      send(exchange, new PeerClient.OwnershipAnswer(false, conflict.end()));
    } else {
      exchange.setStatusCode(result instanceof AppendResult.Refused ? 503 : 504).endExchange();
    }
  }

  private void send(HttpServerExchange exchange, Object body) {
    exchange.getResponseSender().send(ByteBuffer.wrap(codec.encode(body)));
  }

  private static void respond(HttpServerExchange exchange, TableWriter.Outcome outcome) {
    int status = 504;
    if (outcome == TableWriter.Outcome.WRITTEN) {
      status = 200;
    } else if (outcome != null) {
      status = 503;
    }
    exchange.setStatusCode(status).endExchange();
  }

  private void sendState(HttpServerExchange exchange, String workflow) {
    submissions
        .lookUpForPeer(workflow)
        .thenAccept(
            lookup -> {
              if (lookup.state().isPresent()) {
                send(exchange, new PeerClient.State(lookup.state().get()));
              } else if (lookup.isUnknown()) {
                exchange.getResponseHeaders().put(LOG_READ, "1");
                exchange.setStatusCode(404).endExchange();
              } else {
                exchange.setStatusCode(503).endExchange();
              }
            });
  }
}
