package org.persimmonloom.runtime.workflow;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Single thread on which an owner makes its decisions. An exception or error of a task is logged
 * and does not affect other tasks; tasks submitted after the stop are dropped. Safe for any thread.
 */
final class OwnerLoop {
  private static final Logger LOG = LogManager.getLogger(OwnerLoop.class);

  private final long fence;
  private final OwnerLoad load;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "owner-loop");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * Creates a loop.
   *
   * @param fence fence of the owner, for logs
   * @param load receives the waiting times of tasks
   */
  OwnerLoop(long fence, OwnerLoad load) {
    this.fence = fence;
    this.load = load;
  }

  /** Runs a task as soon as the thread is free. */
  void execute(Runnable task) {
    long enqueuedNanos = System.nanoTime();
    submit(
        () ->
            executor.execute(
                () -> {
                  load.recordWait(System.nanoTime() - enqueuedNanos);
                  runAndLogFailure(task);
                }));
  }

  /** Runs a task once after a delay. */
  void schedule(Runnable task, long delayMillis) {
    submit(
        () -> executor.schedule(() -> runAndLogFailure(task), delayMillis, TimeUnit.MILLISECONDS));
  }

  /** Runs a task immediately, then repeatedly with the given pause after each run. */
  void repeat(Runnable task, long pauseMillis) {
    submit(
        () ->
            executor.scheduleWithFixedDelay(
                () -> runAndLogFailure(task), 0, pauseMillis, TimeUnit.MILLISECONDS));
  }

  /** Stops the loop and interrupts a running task. */
  void stop() {
    executor.shutdownNow();
  }

  private void submit(Runnable submission) {
    try {
      submission.run();
    } catch (RejectedExecutionException e) {
      LOG.debug("event=term_over fence={}", fence);
    }
  }

  private void runAndLogFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      LOG.error("event=owner_failed fence={}", fence, e);
    }
  }
}
