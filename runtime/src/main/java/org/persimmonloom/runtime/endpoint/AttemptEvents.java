package org.persimmonloom.runtime.endpoint;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Follows one attempt through the HTTP client: which connection it got, and whether any byte of the
 * request could have been sent.
 *
 * <p>As network interceptor it is the last step before the request is written. There it refuses a
 * connection that was idle too long and a second transmission, because the client repeats a request
 * on its own when a 503 response carries {@code Retry-After: 0}. Used by one call at a time; the
 * fields are read by other threads.
 */
final class AttemptEvents extends EventListener {
  private static final String SAVED_RETRY_AFTER = "Persimmonloom-Saved-Retry-After";
  private static final String RETRY_AFTER = "Retry-After";

  /**
   * An endpoint that was chosen longer ago may be leaving by now: the process was paused since.
   * With the interval at which the host list is read, it stays below the 3 s after which a leaving
   * endpoint gets no new work.
   */
  private static final long MAX_DECISION_AGE_MILLIS = 1_500;

  private final EndpointConnections connections;
  private final long decidedNanos;
  private final boolean isIdleLimited;
  private final boolean hasUserAgent;
  private final boolean hasAcceptEncoding;
  private final long connectMillis;
  private volatile Connection connection;
  private volatile boolean mayBeSent;
  private volatile boolean hasAnswer;
  private volatile boolean isRefused;

  /**
   * Creates the events of one call.
   *
   * @param decidedNanos when the endpoint was chosen, by {@link System#nanoTime}
   */
  AttemptEvents(EndpointConnections connections, EndpointRequest request, long decidedNanos) {
    this.connections = connections;
    this.decidedNanos = decidedNanos;
    connectMillis = EndpointClient.connectMillis(request);
    isIdleLimited = !request.isRepeatable();
    hasUserAgent = has(request, "User-Agent");
    hasAcceptEncoding = has(request, "Accept-Encoding");
  }

  private static boolean has(EndpointRequest request, String name) {
    return request.headers().stream().anyMatch(it -> it.name().equalsIgnoreCase(name));
  }

  /** Says that the connection must not be used; no byte was sent on it. */
  static final class IdleConnectionException extends IOException {
    private static final long serialVersionUID = 1L;

    IdleConnectionException(long idleMillis) {
      super("connection was idle for " + idleMillis + " ms");
    }
  }

  boolean mayBeSent() {
    return mayBeSent;
  }

  boolean hasAnswer() {
    return hasAnswer;
  }

  boolean isRefused() {
    return isRefused;
  }

  /** Closes the connection of this attempt, so that no later request can use it. */
  void closeConnection() {
    Connection used = connection;
    if (used != null) {
      try {
        used.socket().close();
      } catch (IOException e) {
        // The socket can't be used either way.
        return;
      }
    }
  }

  @Override
  public void connectFailed(
      Call call, InetSocketAddress address, Proxy proxy, Protocol protocol, IOException e) {
    // A timeout says something about the endpoint only if the caller's deadline left it time.
    boolean hadTime = connectMillis >= EndpointClient.MAX_CONNECT_MILLIS;
    isRefused = e instanceof ConnectException || (e instanceof SocketTimeoutException && hadTime);
  }

  @Override
  public void connectionAcquired(Call call, Connection acquired) {
    connection = acquired;
  }

  @Override
  public void connectionReleased(Call call, Connection released) {
    connections.released(released);
  }

  @Override
  public void requestHeadersStart(Call call) {
    mayBeSent = true;
  }

  @Override
  public void responseHeadersEnd(Call call, Response response) {
    hasAnswer = true;
  }

  /** Sends the request once, with no header that the client added on its own. */
  Response transmit(Interceptor.Chain chain) throws IOException {
    if (mayBeSent) {
      throw new IOException("a second transmission was refused");
    }
    long idleMillis = connections.idleMillis(chain.connection());
    if (isIdleLimited && idleMillis > EndpointConnections.MAX_IDLE_MILLIS) {
      closeConnection();
      throw new IdleConnectionException(idleMillis);
    }
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - decidedNanos);
    if (ageMillis > MAX_DECISION_AGE_MILLIS) {
      throw new IOException("the endpoint was chosen " + ageMillis + " ms ago");
    }
    Request.Builder request = chain.request().newBuilder();
    if (!hasUserAgent) {
      request.removeHeader("User-Agent");
    }
    if (!hasAcceptEncoding) {
      request.removeHeader("Accept-Encoding");
    }
    Response response = chain.proceed(request.build());
    String retryAfter = response.header(RETRY_AFTER);
    if (retryAfter == null) {
      return response;
    }
    return response
        .newBuilder()
        .removeHeader(RETRY_AFTER)
        .header(SAVED_RETRY_AFTER, retryAfter)
        .build();
  }

  /** Returns the name that the endpoint gave a response header. */
  static String originalName(String name) {
    return name.equals(SAVED_RETRY_AFTER) ? RETRY_AFTER : name;
  }
}
