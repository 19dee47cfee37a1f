package org.persimmonloom.runtime.caller;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Runs short delayed tasks of the request path on one thread. Safe for any thread. */
@Singleton
public class RequestTimer {
  private final ScheduledThreadPoolExecutor executor =
      new ScheduledThreadPoolExecutor(
          1,
          task -> {
            Thread thread = new Thread(task, "request-timer");
            thread.setDaemon(true);
            return thread;
          });

  @Inject
  public RequestTimer() {
    executor.setRemoveOnCancelPolicy(true);
  }

  /** Runs the task after a delay. It must not block. */
  public ScheduledFuture<?> after(long delayMillis, Runnable task) {
    return executor.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
  }

  /** Runs the task at an interval until the timer stops. It must not block or throw. */
  public void every(long intervalMillis, Runnable task) {
    executor.scheduleWithFixedDelay(task, 0, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Cancels all tasks. */
  public void stop() {
    executor.shutdownNow();
  }
}
