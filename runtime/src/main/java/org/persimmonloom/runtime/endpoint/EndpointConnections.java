package org.persimmonloom.runtime.endpoint;

import java.net.Proxy;
import java.time.InstantSource;
import java.util.Map;
import java.util.WeakHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Connection;
import okhttp3.ConnectionPool;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;

/**
 * The connections of this host to one endpoint. Each attempt has a connection of its own, so the
 * limit on attempts in progress is also the limit on connections. Safe for any thread.
 */
final class EndpointConnections {
  /**
   * A connection that was idle longer is not used for a non-repeatable request, because connections
   * that went silent are found only by waiting for an answer.
   */
  static final long MAX_IDLE_MILLIS = 2_000;

  private static final int MAX_IDLE_CONNECTIONS = 16;
  private static final long KEEP_MILLIS = 20_000;

  private final ConnectionPool pool =
      new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_MILLIS, TimeUnit.MILLISECONDS);
  private final Map<Connection, Long> idleSince = new WeakHashMap<>();
  private final AtomicInteger inUse = new AtomicInteger();
  private final OkHttpClient client;
  private final InstantSource clock;

  EndpointConnections(OkHttpClient base, InstantSource clock) {
    this.clock = clock;
    client =
        base.newBuilder()
            .connectionPool(pool)
            .proxy(Proxy.NO_PROXY)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .eventListenerFactory(
                call -> {
                  EventListener events = call.request().tag(AttemptEvents.class);
                  return events == null ? EventListener.NONE : events;
                })
            .addNetworkInterceptor(
                chain -> chain.call().request().tag(AttemptEvents.class).transmit(chain))
            .build();
  }

  OkHttpClient client() {
    return client;
  }

  /** Takes one of {@code limit} connections; returns false if all are in use. */
  boolean tryAcquire(int limit) {
    if (inUse.incrementAndGet() > limit) {
      inUse.decrementAndGet();
      return false;
    }
    return true;
  }

  void release() {
    inUse.decrementAndGet();
  }

  /** Closes the idle connections; those in use go on. */
  void closeIdle() {
    pool.evictAll();
  }

  void released(Connection connection) {
    synchronized (idleSince) {
      idleSince.put(connection, clock.millis());
    }
  }

  /** Returns how long the connection was idle before its present use; 0 for a new one. */
  long idleMillis(Connection connection) {
    synchronized (idleSince) {
      Long since = idleSince.get(connection);
      return since == null ? 0 : clock.millis() - since;
    }
  }
}
