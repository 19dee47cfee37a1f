package org.persimmonloom.runtime.workflow;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * The thread on which an owner decides. A task that fails is logged and ends nothing else; tasks
 * that come after the stop are dropped. Safe for any thread.
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
   * @param load hears how long tasks wait
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

  /** Runs a task now and after each pause of the given length. */
  void repeat(Runnable task, long pauseMillis) {
    submit(
        () ->
            executor.scheduleWithFixedDelay(
                () -> runAndLogFailure(task), 0, pauseMillis, TimeUnit.MILLISECONDS));
  }

  /** Ends the loop; a task that runs is interrupted. */
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
    } catch (RuntimeException e) {
      LOG.error("event=owner_failed fence={}", fence, e);
    }
  }
}
