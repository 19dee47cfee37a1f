package org.persimmonloom.tool.standin;

import java.util.ArrayDeque;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * The slots of an endpoint and the first-in, first-out queue in front of them. A run only takes
 * time, no thread, since all endpoints of the process share one timer. Safe for any thread.
 */
final class SlotQueue {
  private static final ScheduledExecutorService TIMER =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "endpoint-run");
            thread.setDaemon(true);
            return thread;
          });

  private final ArrayDeque<Run> waiting = new ArrayDeque<>();
  private int freeSlots;

  /** A run that waits for a slot: told when it begins and when it ends. */
  private record Run(long runMillis, Runnable begin, Runnable end) {}

  SlotQueue(int slots) {
    freeSlots = slots;
  }

  void submit(long runMillis, Runnable begin, Runnable end) {
    synchronized (this) {
      waiting.add(new Run(runMillis, begin, end));
    }
    startNext();
  }

  private void startNext() {
    Run run;
    synchronized (this) {
      if (freeSlots == 0 || waiting.isEmpty()) {
        return;
      }
      freeSlots--;
      run = waiting.poll();
    }
    run.begin().run();
    TIMER.schedule(() -> finish(run), run.runMillis(), TimeUnit.MILLISECONDS);
  }

  private void finish(Run run) {
    synchronized (this) {
      freeSlots++;
    }
    startNext();
    run.end().run();
  }

  /** Runs a task later on the shared timer. */
  static void later(long millis, Runnable task) {
    TIMER.schedule(task, millis, TimeUnit.MILLISECONDS);
  }
}
