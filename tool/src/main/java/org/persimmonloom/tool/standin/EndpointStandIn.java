package org.persimmonloom.tool.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.persimmonloom.runtime.endpoint.EndpointClient;

/** Stands in for an executor of a service: answers each request with its path and body. */
public final class EndpointStandIn {
  private final InetSocketAddress address;
  private Undertow server;

  /** Creates an endpoint that will listen at {@code address}. */
  public EndpointStandIn(InetSocketAddress address) {
    this.address = address;
  }

  /** Starts listening. */
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(new BlockingHandler(EndpointStandIn::handle))
            .build();
    server.start();
  }

  /** Stops listening. */
  public void stop() {
    server.stop();
  }

  private static void handle(HttpServerExchange exchange) throws IOException {
    byte[] body = exchange.getInputStream().readAllBytes();
    HttpString attempt = new HttpString(EndpointClient.ATTEMPT_HEADER);
    exchange.getResponseHeaders().put(attempt, exchange.getRequestHeaders().getFirst(attempt));
    String text = exchange.getRequestPath() + " " + new String(body, StandardCharsets.UTF_8);
    exchange.getResponseSender().send(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }
}
