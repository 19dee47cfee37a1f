package org.persimmonloom.tool.standin;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.Map;
import java.util.function.Function;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.worker.RenewRequest;
import org.persimmonloom.runtime.worker.StartRequest;
import org.persimmonloom.runtime.worker.TaskRequest;

/**
 * Stands in for a worker: runs tasks as timers and speaks the protocol of {@code WorkerClient}.
 *
 * <p>It can fail everything, lose answers after the action took effect, pause, and reboot. Tasks
 * run out of memory by their {@link TaskBehaviour}. All starts are counted in a {@link TaskLedger}.
 * Safe for any thread.
 */
public final class WorkerStandIn {
  private static final long USAGE_LAG_MILLIS = 200;

  private final Codec codec = new Codec(Map.of());
  private final InetSocketAddress address;
  private final WorkerTasks tasks;
  private final Object pauseLock = new Object();
  private boolean isPaused;
  private volatile int loseEvery;
  private int calls;
  private Undertow server;

  /**
   * Creates a worker that will listen at the address of its facts.
   *
   * @param behaviours what the tasks of each kind of job do
   */
  public WorkerStandIn(
      HostFacts facts,
      InstantSource clock,
      TaskLedger ledger,
      Function<String, TaskBehaviour> behaviours) {
    String[] parts = facts.address().split(":");
    this.address = new InetSocketAddress(parts[0], Integer.parseInt(parts[1]));
    JobSize size = new JobSize(facts.cores(), facts.memoryMb(), facts.accelerators());
    this.tasks = new WorkerTasks(facts.name(), size, clock, ledger, behaviours, USAGE_LAG_MILLIS);
  }

  /** Starts listening. */
  public void start() {
    server =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setHandler(new BlockingHandler(this::handle))
            .build();
    server.start();
  }

  /** Stops listening; running tasks stay as they are. */
  public void stop() {
    resume();
    server.stop();
  }

  /** Makes every task that starts from now on fail at once, or no longer. */
  public void failEverything(boolean fails) {
    tasks.failEverything(fails);
  }

  /** Breaks the connection instead of every n-th answer, after the action; 0 for none. */
  public void loseEveryAnswer(int every) {
    loseEvery = every;
  }

  /** Holds all calls until {@link #resume}; tasks and their leases go on. */
  public void pause() {
    synchronized (pauseLock) {
      isPaused = true;
    }
  }

  /** Lets held calls continue. */
  public void resume() {
    synchronized (pauseLock) {
      isPaused = false;
      pauseLock.notifyAll();
    }
  }

  /** Ends all tasks and starts a new boot. */
  public void reboot() {
    tasks.reboot();
  }

  private void handle(HttpServerExchange exchange) throws IOException, InterruptedException {
    synchronized (pauseLock) {
      while (isPaused) {
        pauseLock.wait();
      }
    }
    String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    String[] path = exchange.getRequestPath().substring(1).split("/");
    Object answer = answer(exchange.getRequestMethod().toString(), path, body);
    if (losesAnswer()) {
      exchange.getConnection().close();
    } else if (answer == null) {
      exchange.setStatusCode(409);
      exchange.getResponseSender().send("");
    } else {
      byte[] bytes = codec.toJson(answer).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseSender().send(ByteBuffer.wrap(bytes));
    }
  }

  private synchronized boolean losesAnswer() {
    calls++;
    return loseEvery > 0 && calls % loseEvery == 0;
  }

  /** Returns the answer, or null if the call is refused. */
  private Object answer(String method, String[] path, String body) {
    if (path.length == 1) {
      return tasks.report();
    }
    if (path.length == 2) {
      return tasks.renew(decode(body, RenewRequest.class));
    }
    String job = path[1];
    int attempt = Integer.parseInt(path[2]);
    if (method.equals("PUT")) {
      return tasks.start(job, attempt, decode(body, StartRequest.class));
    }
    return tasks.change(job, attempt, path[3], decode(body, TaskRequest.class));
  }

  private <T> T decode(String body, Class<T> type) {
    return codec
        .fromJson(body, type)
        .getOrElseThrow((Failure failure) -> new IllegalArgumentException(failure.toString()));
  }
}
