package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class SharedReadsTest {
  private final Queue<Runnable> begun = new ArrayDeque<>();
  private final AtomicInteger failingBegins = new AtomicInteger();
  private final SharedReads reads = new SharedReads(this::begin, () -> true);

  private void begin(Runnable read) {
    if (failingBegins.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      throw new InternalError("no thread");
    }
    begun.add(read);
  }

  /** Guards against reads that never begin again once the host has run out of threads. */
  @Test
  void readsGoOnAfterAThreadCouldNotBeCreated() {
    failingBegins.set(2);
    assertThat(reads.readAfterCall()).isCompletedWithValue(false);
    assertThat(reads.readAfterCall()).isCompletedWithValue(false);
    CompletableFuture<Boolean> later = reads.readAfterCall();
    begun.remove().run();
    assertThat(later).isCompletedWithValue(true);
  }

  /** Guards against callers that wait for ever for a read that could not follow another. */
  @Test
  void callerIsAnsweredIfTheNextReadCannotBegin() {
    CompletableFuture<Boolean> first = reads.readAfterCall();
    CompletableFuture<Boolean> second = reads.readAfterCall();
    CompletableFuture<Boolean> third = reads.readAfterCall();
    failingBegins.set(1);
    begun.remove().run();
    assertThat(first).isCompletedWithValue(true);
    assertThat(third).isCompletedWithValue(false);
    begun.remove().run();
    assertThat(second).isCompletedWithValue(true);
  }

  /** Guards against an answer by a read that began before the question. */
  @Test
  void callerGetsNoReadThatBeganBefore() {
    reads.readAfterCall();
    reads.readAfterCall();
    CompletableFuture<Boolean> later = reads.readAfterCall();
    begun.remove();
    begun.remove().run();
    assertThat(later).isNotDone();
    begun.remove().run();
    assertThat(later).isCompletedWithValue(true);
  }
}
