package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SharedAttemptTest {
  private final Queue<Runnable> begun = new ArrayDeque<>();
  private final AtomicInteger failingBegins = new AtomicInteger(1);
  private final SharedAttempt attempt = new SharedAttempt(this::begin, () -> 0, () -> {});

  private void begin(Runnable run) {
    if (failingBegins.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      throw new InternalError("no thread");
    }
    begun.add(run);
  }

  /** Guards against an action that never runs again once the host has run out of threads. */
  @Test
  void actionRunsAgainAfterAThreadCouldNotBeCreated() {
    assertThat(attempt.runSince(0)).isCompleted();
    CompletableFuture<Void> later = attempt.runSince(0);
    assertThat(later).isNotDone();
    begun.remove().run();
    assertThat(later).isCompleted();
  }
}
