package org.persimmonloom.runtime.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * HTTP client that carries all of its calls on one I/O thread.
 *
 * <p>A client that blocks a thread for each call spends several times the processor time of the
 * call itself on switching between threads, which limits how many workers an owner can direct. A
 * call is sent once at most and never repeated. Its future completes on the I/O thread and never
 * exceptionally. Safe for any thread.
 */
public final class NonBlockingHttpClient {
  private static final int BUFFER_BYTES = 4_096;
  private static final int MAX_POOLED_BUFFERS = 256;
  private static final long CLEANUP_INTERVAL_MILLIS = 10_000;

  private final int connectTimeoutMillis;
  private final LongSupplier clock;
  private final ByteBufferPool buffers =
      new DefaultByteBufferPool(false, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
  private final IdleConnections idleConnections = new IdleConnections();
  private XnioWorker worker;
  private XnioIoThread thread;

  /**
   * Creates a client.
   *
   * @param clock monotonic clock in milliseconds
   */
  public NonBlockingHttpClient(int connectTimeoutMillis, LongSupplier clock) {
    this.connectTimeoutMillis = connectTimeoutMillis;
    this.clock = clock;
  }

  /** Starts the I/O thread. */
  public void start() {
    OptionMap options =
        OptionMap.builder()
            .set(Options.WORKER_NAME, "http-client")
            .set(Options.WORKER_IO_THREADS, 1)
            .set(Options.WORKER_TASK_CORE_THREADS, 1)
            .set(Options.WORKER_TASK_MAX_THREADS, 1)
            .set(Options.THREAD_DAEMON, true)
            .getMap();
    try {
      worker = Xnio.getInstance().createWorker(options);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    thread = worker.getIoThread();
    thread.executeAtInterval(
        () -> idleConnections.closeExpired(clock.getAsLong()),
        CLEANUP_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /** Stops the I/O thread; calls in progress get no reply. */
  public void stop() {
    worker.shutdownNow();
  }

  /**
   * Sends a request, unless its time limit passes before, as when this process is paused: the
   * reason for which the caller sent it may no longer hold by then.
   */
  public CompletableFuture<HttpReply> post(HttpPost request) {
    CompletableFuture<HttpReply> reply = new CompletableFuture<>();
    long postedMillis = now();
    thread.execute(() -> new HttpCall(this, request, reply, postedMillis).start());
    return reply;
  }

  IdleConnections idleConnections() {
    return idleConnections;
  }

  ByteBufferPool buffers() {
    return buffers;
  }

  long now() {
    return clock.getAsLong();
  }

  int connectTimeoutMillis() {
    return connectTimeoutMillis;
  }

  XnioIoThread thread() {
    return thread;
  }

  void connect(URI address, ClientCallback<ClientConnection> callback) {
    UndertowClient.getInstance()
        .connect(
            callback,
            address,
            thread,
            buffers,
            OptionMap.create(Options.TCP_NODELAY, Boolean.TRUE));
  }
}
