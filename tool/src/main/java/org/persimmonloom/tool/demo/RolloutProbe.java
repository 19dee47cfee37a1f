package org.persimmonloom.tool.demo;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.oracle.RolloutCheck;

/**
 * Asks each entry host again and again for the services that notes added. A host that refuses such
 * a request as naming an unknown service doesn't run the note; a host that refuses it for another
 * reason that concerns the service runs it. Safe for any thread.
 */
public final class RolloutProbe {
  private static final long INTERVAL_MILLIS = 200;
  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int THREADS = 9;

  /** Refusals that come before the service is looked up. */
  private static final Set<ResultCode> SAYS_NOTHING =
      Set.of(
          ResultCode.STOPPING,
          ResultCode.NOT_CURRENT,
          ResultCode.NOT_REGISTERED,
          ResultCode.OVERLOADED);

  private final Balancer balancer;
  private final RolloutCheck check;
  private final List<String> notes = new CopyOnWriteArrayList<>();
  private final ScheduledExecutorService executor = DemoThreads.scheduled("rollout-probe", THREADS);

  /** Creates a probe that reports to the check. */
  public RolloutProbe(Balancer balancer, RolloutCheck check) {
    this.balancer = balancer;
    this.check = check;
  }

  /** Begins to probe an entry host, one request at a time. */
  public void add(EntryTarget host) {
    executor.scheduleWithFixedDelay(
        () -> notes.forEach(note -> probe(host, note)), 0, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Begins to probe for an accepted note, which adds a service of its own name. */
  public void follow(String note) {
    notes.add(note);
  }

  private void probe(EntryTarget host, String note) {
    if (!host.isUp() || !balancer.isReady(host)) {
      return;
    }
    OkHttpClient client =
        host.callerClient().newBuilder().callTimeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build();
    Request request =
        new Request.Builder()
            .url(host.callerUrl() + "/" + note + "/probe")
            .header("Persimmonloom-Deadline-Millis", "200")
            .build();
    try (Response response = client.newCall(request).execute()) {
      int result = Integer.parseInt(response.header("Persimmonloom-Result", "-1"));
      if (result == ResultCode.SERVICE_UNKNOWN.number()) {
        check.doesNotRun(note, host.name());
      } else if (result >= 0 && SAYS_NOTHING.stream().noneMatch(it -> it.number() == result)) {
        check.runs(note, host.name(), System.currentTimeMillis());
      }
    } catch (IOException e) {
      // A probe without an answer says nothing about the note.
      return;
    }
  }

  /** Stops probing. */
  public void stop() {
    executor.shutdownNow();
  }
}
