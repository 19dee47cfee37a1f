package org.persimmonloom.runtime.endpoint;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import javax.inject.Inject;
import javax.inject.Singleton;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.claim.CompleteResponse.Header;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.RoutingEndpoint;

/**
 * Sends requests to endpoints, one thread for each attempt, up to a limit of threads.
 *
 * <p>A response counts only if the endpoint echoed the attempt's identifier and the body is
 * complete by its Content-Length or final chunk. The connection of any other attempt is closed. An
 * attempt that found its connection silent also closes the idle connections of that endpoint. Safe
 * for any thread.
 */
@Singleton
public final class EndpointClient implements EndpointSender {
  /** Identifies the attempt; the endpoint echoes it, which shows a crossed response. */
  public static final String ATTEMPT_HEADER = "Persimmonloom-Attempt";

  /** Time left to the caller's deadline, in milliseconds. */
  public static final String DEADLINE_HEADER = "Persimmonloom-Deadline-Millis";

  /** Largest response body that is accepted, since responses are held whole in memory. */
  public static final int MAX_RESPONSE_BYTES = 1 << 20;

  private static final int MAX_ATTEMPTS = 256;
  private static final long THREAD_KEEP_SECONDS = 30;
  static final long MAX_CONNECT_MILLIS = 1_000;

  private final Map<String, EndpointConnections> byAddress = new ConcurrentHashMap<>();
  private final OkHttpClient base;
  private final InstantSource clock;
  private final ExecutorService executor =
      new ThreadPoolExecutor(
          0,
          MAX_ATTEMPTS,
          THREAD_KEEP_SECONDS,
          TimeUnit.SECONDS,
          new SynchronousQueue<>(),
          task -> {
            Thread thread = new Thread(task, "endpoint-attempt");
            thread.setDaemon(true);
            return thread;
          });

  @Inject
  public EndpointClient(OkHttpClient base, InstantSource clock) {
    this.base = base;
    this.clock = clock;
  }

  /** Forgets endpoints that are in use no more and closes their idle connections. */
  public void retain(Set<String> addresses) {
    byAddress.forEach(
        (address, connections) -> {
          if (!addresses.contains(address) && byAddress.remove(address, connections)) {
            connections.closeIdle();
          }
        });
  }

  @Override
  public EndpointCall send(RoutingEndpoint endpoint, EndpointRequest request) {
    Attempt attempt = new Attempt(endpoint, request);
    try {
      executor.execute(attempt::run);
    } catch (RejectedExecutionException e) {
      attempt.result.complete(notSent("no thread is free for the attempt"));
    }
    return attempt;
  }

  /** Returns how long the connection may take to open. */
  static long connectMillis(EndpointRequest request) {
    return Math.max(1, Math.min(MAX_CONNECT_MILLIS, request.timeoutMillis()));
  }

  /** A limit of this host kept the attempt back, which says nothing about the endpoint. */
  private static EndpointResult notSent(String reason) {
    return new EndpointResult(AttemptResult.CANCELLED, null, false, false, reason, 0);
  }

  private final class Attempt implements EndpointCall {
    private final CompletableFuture<EndpointResult> result = new CompletableFuture<>();
    private final AtomicReference<Call> current = new AtomicReference<>();
    private final RoutingEndpoint endpoint;
    private final EndpointRequest request;
    private final long decidedNanos = System.nanoTime();
    private volatile boolean isCancelled;

    private Attempt(RoutingEndpoint endpoint, EndpointRequest request) {
      this.endpoint = endpoint;
      this.request = request;
    }

    @Override
    public CompletableFuture<EndpointResult> result() {
      return result;
    }

    @Override
    public void cancel() {
      isCancelled = true;
      Call call = current.get();
      if (call != null) {
        call.cancel();
      }
    }

    private void run() {
      EndpointConnections connections =
          byAddress.computeIfAbsent(
              endpoint.address(), unused -> new EndpointConnections(base, clock));
      if (!connections.tryAcquire(request.maxConnections())) {
        result.complete(notSent("all connections to " + endpoint.name() + " are in use"));
        return;
      }
      EndpointResult ended;
      try {
        ended = exchange(connections);
      } catch (RuntimeException e) {
        ended = new EndpointResult(AttemptResult.BROKEN, null, true, false, e.toString(), 0);
      } finally {
        connections.release();
      }
      result.complete(ended);
    }

    private EndpointResult exchange(EndpointConnections connections) {
      long startMillis = clock.millis();
      AttemptEvents events = new AttemptEvents(connections, request, decidedNanos);
      try {
        return complete(call(connections, events), startMillis, events);
      } catch (AttemptEvents.IdleConnectionException e) {
        connections.closeIdle();
        events = new AttemptEvents(connections, request, decidedNanos);
        try {
          return complete(call(connections, events), startMillis, events);
        } catch (IOException again) {
          return broken(connections, events, again, startMillis);
        }
      } catch (IOException e) {
        return broken(connections, events, e, startMillis);
      }
    }

    private Call call(EndpointConnections connections, AttemptEvents events) throws IOException {
      long timeoutMillis = Math.max(1, request.timeoutMillis());
      long progressMillis = Math.max(1, Math.min(request.progressMillis(), timeoutMillis));
      Call call =
          connections
              .client()
              .newBuilder()
              .callTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
              .connectTimeout(connectMillis(request), TimeUnit.MILLISECONDS)
              .readTimeout(progressMillis, TimeUnit.MILLISECONDS)
              .writeTimeout(progressMillis, TimeUnit.MILLISECONDS)
              .build()
              .newCall(httpRequest(events));
      current.set(call);
      if (isCancelled) {
        throw new IOException("cancelled before it was sent");
      }
      return call;
    }

    private Request httpRequest(AttemptEvents events) {
      Headers.Builder headers = new Headers.Builder();
      for (Header header : request.headers()) {
        headers.add(header.name(), header.value());
      }
      headers.set(ATTEMPT_HEADER, request.attempt());
      headers.set(DEADLINE_HEADER, Long.toString(request.timeoutMillis()));
      if (headers.get("Accept-Encoding") == null) {
        // Keeps the client from asking for compression on its own; removed before transmission.
        headers.set("Accept-Encoding", "identity");
      }
      boolean needsBody = List.of("POST", "PUT", "PATCH").contains(request.method());
      boolean hasBody = needsBody || request.body().length > 0;
      return new Request.Builder()
          .url("http://" + endpoint.address() + request.target())
          .headers(headers.build())
          .method(request.method(), hasBody ? RequestBody.create(request.body()) : null)
          .tag(AttemptEvents.class, events)
          .build();
    }

    private EndpointResult complete(Call call, long startMillis, AttemptEvents events)
        throws IOException {
      try (Response response = call.execute()) {
        try {
          CompleteResponse complete = read(response);
          AttemptResult outcome =
              complete.status() >= 500 ? AttemptResult.FAILED : AttemptResult.SUCCEEDED;
          return new EndpointResult(
              outcome, complete, true, false, "", clock.millis() - startMillis);
        } catch (IOException e) {
          events.closeConnection();
          throw e;
        }
      }
    }

    private CompleteResponse read(Response response) throws IOException {
      String echoed = response.header(ATTEMPT_HEADER);
      if (!request.attempt().equals(echoed)) {
        throw new IOException("the response belongs to another attempt");
      }
      checkFraming(response);
      BufferedSource source = response.body().source();
      if (source.request(MAX_RESPONSE_BYTES + 1L)) {
        throw new IOException("the response exceeds " + MAX_RESPONSE_BYTES + " bytes");
      }
      byte[] body = source.readByteArray();
      List<Header> headers = new ArrayList<>();
      response
          .headers()
          .forEach(
              it ->
                  headers.add(
                      new Header(AttemptEvents.originalName(it.getFirst()), it.getSecond())));
      return new CompleteResponse(response.code(), HopByHopHeaders.remove(headers), body);
    }

    /** A body that ends with the connection can't be told from one that was cut short. */
    private void checkFraming(Response response) throws IOException {
      boolean hasNoBody =
          request.method().equals("HEAD") || response.code() == 204 || response.code() == 304;
      boolean isChunked = "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
      if (!hasNoBody && !isChunked && response.header("Content-Length") == null) {
        throw new IOException("the response has neither Content-Length nor chunks");
      }
    }

    private EndpointResult broken(
        EndpointConnections connections, AttemptEvents events, IOException e, long startMillis) {
      events.closeConnection();
      boolean isSilent = e instanceof InterruptedIOException && !events.hasAnswer();
      if (isSilent && events.mayBeSent() && !isCancelled) {
        connections.closeIdle();
      }
      AttemptResult outcome = AttemptResult.BROKEN;
      if (isCancelled) {
        outcome = AttemptResult.CANCELLED;
      } else if (!events.mayBeSent()) {
        // A deadline that leaves no time to connect says nothing about the endpoint.
        outcome = events.isRefused() ? AttemptResult.NOT_CONNECTED : AttemptResult.CANCELLED;
      }
      String reason = endpoint.name() + ": " + e.getMessage();
      return new EndpointResult(
          outcome,
          null,
          events.mayBeSent(),
          events.isRefused(),
          reason,
          clock.millis() - startMillis);
    }
  }
}
