package org.persimmonloom.tool.demo;

import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.persimmonloom.tool.oracle.RequestLedger;

/**
 * Sends requests at the rates of a {@link DemandSchedule}. The same seed gives the same sequence of
 * services, routes and run times; the time at which each is sent varies.
 */
public final class DemandDriver {
  private static final long TICK_MILLIS = 20;

  /** Share of non-repeatable requests that are sent to two entry hosts at once. */
  private static final double DUPLICATE_SHARE = 0.03;

  private final List<DemoService> services;
  private final DemandSchedule schedule;
  private final Caller caller;
  private final RequestLedger ledger;
  private final Random random;
  private final ExecutorService callers;
  private final ScheduledExecutorService ticker = DemoThreads.scheduled("demand", 1);
  private final AtomicInteger waiting = new AtomicInteger();
  private final double[] owed;
  private long startMillis;
  private long lastMillis;

  /** Creates a driver; the executor runs one task for each request that waits. */
  public DemandDriver(
      List<DemoService> services,
      DemandSchedule schedule,
      Caller caller,
      RequestLedger ledger,
      Random random,
      ExecutorService callers) {
    this.services = services;
    this.schedule = schedule;
    this.caller = caller;
    this.ledger = ledger;
    this.random = random;
    this.callers = callers;
    this.owed = new double[services.size()];
  }

  /** Starts sending. */
  public void start() {
    startMillis = System.currentTimeMillis();
    lastMillis = startMillis;
    ticker.scheduleAtFixedRate(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void tick() {
    long now = System.currentTimeMillis();
    for (int i = 0; i < services.size(); i++) {
      owed[i] += schedule.perSecond(i, now - startMillis) * (now - lastMillis) / 1_000;
      for (; owed[i] >= 1; owed[i]--) {
        send(CallerRequest.random(services.get(i), random, now));
      }
    }
    lastMillis = now;
  }

  private void send(CallerRequest request) {
    Random choices = new Random(random.nextLong());
    boolean isDuplicated =
        !request.service().isRepeatable() && random.nextDouble() < DUPLICATE_SHARE;
    waiting.incrementAndGet();
    callers.execute(
        () -> {
          try {
            ledger.finished(
                isDuplicated ? caller.callTwice(request, choices) : caller.call(request, choices));
          } finally {
            waiting.decrementAndGet();
          }
        });
  }

  /** Returns the service at this position, from 0. */
  public DemoService service(int position) {
    return services.get(position);
  }

  /** Returns the name of the spare service. */
  public String spare() {
    return services.stream().filter(DemoService::isSpare).findFirst().orElseThrow().name();
  }

  /** Returns the service that is at its peak. */
  public DemoService peak() {
    return services.get(schedule.peak(System.currentTimeMillis() - startMillis));
  }

  /** Returns the number of callers that wait for an answer. */
  public int waiting() {
    return waiting.get();
  }

  /** Stops sending, and waits for the callers that wait, at most for the given time. */
  public void stop(long waitMillis) throws InterruptedException {
    ticker.shutdown();
    long deadline = System.currentTimeMillis() + waitMillis;
    while (waiting.get() > 0 && System.currentTimeMillis() < deadline) {
      Thread.sleep(TICK_MILLIS);
    }
  }
}
