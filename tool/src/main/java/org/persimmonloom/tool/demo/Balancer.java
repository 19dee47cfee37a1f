package org.persimmonloom.tool.demo;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Stands in for the platform's load balancer: sends callers to entry hosts whose last readiness
 * check passed. Safe for any thread.
 */
public final class Balancer {
  private static final long CHECK_INTERVAL_MILLIS = 250;
  private static final long CHECK_TIMEOUT_MILLIS = 500;
  private static final int CHECK_THREADS = 9;

  private final List<EntryTarget> hosts = new CopyOnWriteArrayList<>();
  private final Set<EntryTarget> ready = ConcurrentHashMap.newKeySet();
  private final ScheduledExecutorService executor =
      DemoThreads.scheduled("balancer", CHECK_THREADS);

  /** Adds an entry host and begins to check it. */
  public void add(EntryTarget host) {
    hosts.add(host);
    executor.scheduleWithFixedDelay(
        () -> check(host), 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check(EntryTarget host) {
    OkHttpClient client =
        host.callerClient()
            .newBuilder()
            .callTimeout(CHECK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .build();
    Request request = new Request.Builder().url(host.operatorUrl() + "/readyz").build();
    try (Response response = client.newCall(request).execute()) {
      if (response.isSuccessful()) {
        ready.add(host);
      } else {
        ready.remove(host);
      }
    } catch (IOException e) {
      ready.remove(host);
    }
  }

  /** Returns a ready entry host, not the avoided one if there is another. */
  public Optional<EntryTarget> pick(Random random, EntryTarget avoided) {
    List<EntryTarget> choices = hosts.stream().filter(ready::contains).toList();
    List<EntryTarget> others = choices.stream().filter(it -> it != avoided).toList();
    List<EntryTarget> from = others.isEmpty() ? choices : others;
    return from.isEmpty() ? Optional.empty() : Optional.of(from.get(random.nextInt(from.size())));
  }

  /** Returns whether the last check of the entry host passed. */
  public boolean isReady(EntryTarget host) {
    return ready.contains(host);
  }

  /** Returns the entry hosts that are up, ready or not. */
  public List<EntryTarget> up() {
    return hosts.stream().filter(EntryTarget::isUp).toList();
  }

  /** Stops checking. */
  public void stop() {
    executor.shutdownNow();
  }
}
