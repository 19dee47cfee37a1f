package org.persimmonloom.runtime.entry;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Whether this entry host is stopping, and whether it was told to hurry. Safe for any thread.
 *
 * <p>The first signal begins a planned stop; the second ends all waiting of the stop.
 */
@Singleton
public final class PlannedStop {
  private final CompletableFuture<Void> hurried = new CompletableFuture<>();
  private volatile boolean isBegun;

  @Inject
  public PlannedStop() {}

  /** Begins the stop, so that the readiness check fails; returns false if it had begun before. */
  public synchronized boolean begin() {
    boolean isFirst = !isBegun;
    isBegun = true;
    return isFirst;
  }

  /** Ends all waiting. */
  public void hurry() {
    hurried.complete(null);
  }

  /** Returns whether the stop has begun. */
  public boolean isBegun() {
    return isBegun;
  }

  /** Waits for the time to pass; less if told to hurry. */
  void pause(long millis) throws InterruptedException {
    await(hurried, millis);
  }

  /**
   * Waits until the future completes, the time has passed or the stop was told to hurry.
   *
   * @return whether the future completed
   */
  boolean await(CompletableFuture<?> future, long millis) throws InterruptedException {
    try {
      CompletableFuture.anyOf(future, hurried).get(Math.max(0, millis), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      return future.isDone();
    }
    return future.isDone();
  }
}
