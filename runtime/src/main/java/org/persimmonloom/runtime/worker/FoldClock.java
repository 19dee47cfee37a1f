package org.persimmonloom.runtime.worker;

import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.runtime.log.FoldListener;
import org.persimmonloom.runtime.log.ReplicatedState;

/**
 * Estimates the current fold time, including while the log can't be read or appended to.
 *
 * <p>The estimate is the maximum of the wall clock and of every observed fold time, each advanced
 * by the monotonic clock. A batch that is appended late carries an old time, and a wall clock may
 * be slow; taking the maximum keeps both from lowering the estimate. Thread-safe.
 */
@Singleton
final class FoldClock implements FoldListener {
  private final ReplicatedState state;
  private final InstantSource wallClock;
  private final LongSupplier monotonicMillis;

  /** The largest difference between an observed fold time and the monotonic clock. */
  private final AtomicLong leadMillis = new AtomicLong(Long.MIN_VALUE / 2);

  @Inject
  FoldClock(ReplicatedState state, InstantSource wallClock) {
    this(state, wallClock, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    state.addListener(this);
  }

  FoldClock(ReplicatedState state, InstantSource wallClock, LongSupplier monotonicMillis) {
    this.state = state;
    this.wallClock = wallClock;
    this.monotonicMillis = monotonicMillis;
  }

  @Override
  public void folded(long offset, Batch batch, List<ProposalResult> results) {
    observe(state.read(FleetState::timeMillis));
  }

  void observe(long foldTimeMillis) {
    leadMillis.accumulateAndGet(foldTimeMillis - monotonicMillis.getAsLong(), Math::max);
  }

  /** Returns the estimate in milliseconds since the epoch. */
  long nowMillis() {
    return Math.max(wallClock.millis(), leadMillis.get() + monotonicMillis.getAsLong());
  }
}
