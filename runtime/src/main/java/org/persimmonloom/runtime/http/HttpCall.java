package org.persimmonloom.runtime.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * One call of a {@link NonBlockingHttpClient}. It ends once, with a response or a failure; what its
 * connection reports later is ignored. After its time limit nothing is sent, and a response counts
 * as none, whichever the I/O thread handles first: timer, request or response. Confined to the
 * client's I/O thread.
 */
final class HttpCall {
  private final NonBlockingHttpClient client;
  private final HttpPost request;
  private final CompletableFuture<HttpReply> reply;

  /** Monotonic time in ms, counted from when the caller posted the request. */
  private final long deadlineMillis;

  private XnioExecutor.Key connectTimeout;
  private XnioExecutor.Key timeout;
  private ClientConnection connection;
  private boolean isSent;
  private boolean isEnded;

  HttpCall(
      NonBlockingHttpClient client,
      HttpPost request,
      CompletableFuture<HttpReply> reply,
      long postedMillis) {
    this.client = client;
    this.request = request;
    this.reply = reply;
    deadlineMillis = postedMillis + request.limitMillis();
  }

  void start() {
    try {
      long leftMillis = deadlineMillis - client.now();
      if (leftMillis <= 0) {
        expire();
        return;
      }
      timeout =
          client
              .thread()
              .executeAfter(() -> fail("call timeout"), leftMillis, TimeUnit.MILLISECONDS);
      ClientConnection idle = client.idleConnections().take(request.address());
      if (idle == null) {
        connect();
      } else {
        send(idle);
      }
    } catch (RuntimeException e) {
      fail(e.toString());
    }
  }

  private void connect() {
    connectTimeout =
        client
            .thread()
            .executeAfter(
                () -> fail("connect timeout"),
                client.connectTimeoutMillis(),
                TimeUnit.MILLISECONDS);
    client.connect(
        URI.create("http://" + request.address()),
        new ClientCallback<>() {
          @Override
          public void completed(ClientConnection connected) {
            connectTimeout.remove();
            if (isEnded) {
              // The call has timed out; the connection serves a later one.
              client.idleConnections().add(request.address(), connected, client.now());
            } else {
              send(connected);
            }
          }

          @Override
          public void failed(IOException e) {
            fail(e.getClass().getSimpleName());
          }
        });
  }

  private boolean isExpired() {
    return client.now() >= deadlineMillis;
  }

  /** Ends a call whose time limit has passed; its connection, if any, is not at fault. */
  private void expire() {
    if (end()) {
      HttpReply.NoResponse reason =
          isSent ? HttpReply.NoResponse.UNKNOWN : HttpReply.NoResponse.NOT_SENT;
      reply.complete(HttpReply.none(reason, "handled after the time limit"));
    }
  }

  private void send(ClientConnection open) {
    if (isExpired()) {
      client.idleConnections().add(request.address(), open, client.now());
      expire();
      return;
    }
    connection = open;
    isSent = true;
    ClientRequest message = new ClientRequest().setMethod(Methods.POST).setPath(request.path());
    message
        .getRequestHeaders()
        .put(Headers.HOST, request.address())
        .put(Headers.CONTENT_TYPE, "application/json")
        .put(Headers.CONTENT_LENGTH, request.body().getBytes(StandardCharsets.UTF_8).length);
    request
        .headers()
        .forEach((name, value) -> message.getRequestHeaders().put(new HttpString(name), value));
    open.sendRequest(
        message,
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange exchange) {
            exchange(exchange);
          }

          @Override
          public void failed(IOException e) {
            fail(e.getClass().getSimpleName());
          }
        });
  }

  private void exchange(ClientExchange exchange) {
    exchange.setResponseListener(
        new ClientCallback<>() {
          @Override
          public void completed(ClientExchange answered) {
            readBody(answered);
          }

          @Override
          public void failed(IOException e) {
            fail(e.getClass().getSimpleName());
          }
        });
    new StringWriteChannelListener(request.body(), StandardCharsets.UTF_8)
        .setup(exchange.getRequestChannel());
  }

  private void readBody(ClientExchange exchange) {
    int status = exchange.getResponse().getResponseCode();
    new StringReadChannelListener(client.buffers()) {
      @Override
      protected void stringDone(String body) {
        if (isEnded) {
          return;
        }
        client.idleConnections().add(request.address(), connection, client.now());
        if (isExpired()) {
          expire();
        } else if (end()) {
          reply.complete(HttpReply.of(status, body.getBytes(StandardCharsets.UTF_8)));
        }
      }

      @Override
      protected void error(IOException e) {
        fail(e.getClass().getSimpleName());
      }
    }.setup(exchange.getResponseChannel());
  }

  /** Ends the call without a response; the server may still carry out what was sent. */
  private void fail(String cause) {
    if (!end()) {
      return;
    }
    IoUtils.safeClose(connection);
    client.idleConnections().closeAll(request.address());
    HttpReply.NoResponse reason =
        isSent ? HttpReply.NoResponse.UNKNOWN : HttpReply.NoResponse.NOT_SENT;
    reply.complete(HttpReply.none(reason, cause));
  }

  /** Marks the call as ended; returns false if it had ended before. */
  private boolean end() {
    if (isEnded) {
      return false;
    }
    isEnded = true;
    if (timeout != null) {
      timeout.remove();
    }
    if (connectTimeout != null) {
      connectTimeout.remove();
    }
    return true;
  }
}
