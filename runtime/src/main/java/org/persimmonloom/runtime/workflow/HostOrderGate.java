package org.persimmonloom.runtime.workflow;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Lets orders about hosts out only while the owner's permission lasts.
 *
 * <p>An order is decided on one thread and sent on another, and the process may be paused in
 * between. So the permission is checked again just before the order is sent, and the end of a term
 * waits for orders that are being sent: after {@link #close} none follows. Safe for any thread.
 */
final class HostOrderGate {
  private final BooleanSupplier mayOrder;
  private int inProgress;
  private boolean isClosed;

  HostOrderGate(BooleanSupplier mayOrder) {
    this.mayOrder = mayOrder;
  }

  /** Returns the result of the call, or {@code notSent} without a call if it is not permitted. */
  <T> T send(Supplier<T> call, T notSent) {
    synchronized (this) {
      if (isClosed || !mayOrder.getAsBoolean()) {
        return notSent;
      }
      inProgress++;
    }
    try {
      return call.get();
    } finally {
      synchronized (this) {
        inProgress--;
        notifyAll();
      }
    }
  }

  /** Closes the gate and waits for the calls in progress, up to the given time. */
  synchronized void close(long waitMillis) {
    isClosed = true;
    long untilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    long leftNanos = untilNanos - System.nanoTime();
    while (inProgress > 0 && leftNanos > 0) {
      try {
        TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      leftNanos = untilNanos - System.nanoTime();
    }
  }
}
