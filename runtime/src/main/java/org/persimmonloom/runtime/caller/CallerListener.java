package org.persimmonloom.runtime.caller;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.util.AttachmentKey;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;
import org.xnio.Options;

/**
 * The HTTP listener for callers. It never blocks: callbacks on the I/O thread of the connection
 * read a request and write its answer.
 *
 * <p>A request beyond the limits on connections, concurrent requests, body bytes or receive time is
 * answered with a numbered error. Safe for any thread.
 */
@Singleton
public final class CallerListener {
  /** Largest request body in bytes. */
  public static final int MAX_BODY_BYTES = 1 << 20;

  private static final int MAX_ACCEPTED_CONNECTIONS = 4_096;
  private static final int MAX_HEADER_BYTES = 16 * 1_024;
  private static final int MAX_HEADERS = 100;
  private static final int KEEP_ALIVE_TIMEOUT_MILLIS = 60_000;
  private static final int WRITE_TIMEOUT_MILLIS = 30_000;
  private static final int IO_THREADS = 2;
  private static final Logger LOGGER = LogManager.getLogger(CallerListener.class);
  private static final AttachmentKey<Boolean> IS_COUNTED = AttachmentKey.create(Boolean.class);

  private final EntrySettings settings;
  private final RequestService requests;
  private final RequestContext context;
  private final CallerLimits limits;
  private final MemoryBudget memory;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger inProgress = new AtomicInteger();
  private Undertow server;

  @Inject
  CallerListener(EntrySettings settings, RequestService requests, RequestContext context) {
    this(settings, requests, context, CallerLimits.DEFAULT);
  }

  CallerListener(
      EntrySettings settings,
      RequestService requests,
      RequestContext context,
      CallerLimits limits) {
    this.limits = limits;
    memory = new MemoryBudget(limits.bodyBytes());
    this.settings = settings;
    this.requests = requests;
    this.context = context;
  }

  /** Starts listening. */
  public void start() {
    InetSocketAddress address = settings.callerAddress();
    server =
        Undertow.builder()
            .setIoThreads(IO_THREADS)
            .setWorkerThreads(1)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.sendMillis())
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, KEEP_ALIVE_TIMEOUT_MILLIS)
            .setSocketOption(Options.WRITE_TIMEOUT, WRITE_TIMEOUT_MILLIS)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, MAX_ACCEPTED_CONNECTIONS)
            .setSocketOption(Options.CONNECTION_LOW_WATER, MAX_ACCEPTED_CONNECTIONS)
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(new HttpContinueReadHandler(this::handle))
            .build();
    server.start();
  }

  /** Returns the address that the listener is bound to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    server.stop();
  }

  private void handle(HttpServerExchange exchange) {
    CallerExchange request = new CallerExchange(exchange, requests, context, memory, limits);
    int concurrentRequests = inProgress.incrementAndGet();
    exchange.addExchangeCompleteListener(
        (ended, next) -> {
          inProgress.decrementAndGet();
          next.proceed();
        });
    try {
      if (countConnection(exchange) > limits.connections()) {
        exchange.setPersistent(false);
        request.refuse(Failure.of(ResultCode.OVERLOADED, limits.connections()));
      } else if (concurrentRequests > limits.requests()) {
        request.refuse(Failure.of(ResultCode.OVERLOADED, limits.requests()));
      } else {
        request.start();
      }
    } catch (RuntimeException e) {
      LOGGER.error("starting a request failed", e);
      request.refuse(Failure.of(ResultCode.INTERNAL, e));
    }
  }

  /**
   * Counts connections that have carried a request. Returns 0 if this one was counted before, else
   * the new count. Idle connections are closed by a timeout.
   */
  private int countConnection(HttpServerExchange exchange) {
    if (exchange.getConnection().getAttachment(IS_COUNTED) != null) {
      return 0;
    }
    exchange.getConnection().putAttachment(IS_COUNTED, true);
    exchange.getConnection().addCloseListener(closed -> connections.decrementAndGet());
    return connections.incrementAndGet();
  }
}
