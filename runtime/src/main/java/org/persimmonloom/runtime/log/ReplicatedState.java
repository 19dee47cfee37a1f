package org.persimmonloom.runtime.log;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.ReentrantReadWriteLock;
import java.util.function.Function;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FleetSnapshot;
import org.persimmonloom.core.fold.FleetState;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;

/**
 * This process's copy of the fleet state. One thread folds; any thread may read under the read
 * lock. Values that leave {@link #read} must be immutable.
 */
@Singleton
public final class ReplicatedState {
  private static final Logger LOGGER = LogManager.getLogger(ReplicatedState.class);

  private final ReentrantReadWriteLock lock = new ReentrantReadWriteLock();
  private final FleetState state = new FleetState();
  private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

  @Inject
  public ReplicatedState() {}

  /** Adds a listener for batches folded from now on. */
  public void addListener(FoldListener listener) {
    listeners.add(listener);
  }

  /** Returns what {@code reader} computes from the state. */
  public <T> T read(Function<FleetState, T> reader) {
    lock.readLock().lock();
    try {
      return reader.apply(state);
    } finally {
      lock.readLock().unlock();
    }
  }

  /** Returns the first offset that is not folded yet. */
  public long nextOffset() {
    return read(FleetState::nextOffset);
  }

  /**
   * Folds one record. A record that can't be decoded is skipped, since every host sees the same
   * bytes.
   *
   * @return why folding must stop, or empty
   */
  Optional<Failure> fold(long offset, byte[] record) {
    Either<Failure, Batch> decoded = ProposalTypes.CODEC.decode(record, Batch.class);
    if (decoded.isLeft()) {
      LOGGER.warn("record at offset {} skipped: {}", offset, decoded.getLeft());
      write(() -> state.skip(offset));
      return Optional.empty();
    }
    Batch batch = decoded.get();
    Either<Failure, List<ProposalResult>> verdicts = apply(offset, batch);
    if (verdicts.isLeft()) {
      return Optional.of(verdicts.getLeft());
    }
    listeners.forEach(
        listener -> notify(listener, () -> listener.folded(offset, batch, verdicts.get())));
    return Optional.empty();
  }

  private Either<Failure, List<ProposalResult>> apply(long offset, Batch batch) {
    lock.writeLock().lock();
    try {
      return state.apply(offset, batch);
    } finally {
      lock.writeLock().unlock();
    }
  }

  /** A listener that fails must not keep the others from a batch, which is shown only once. */
  private static void notify(FoldListener listener, Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      LOGGER.error("fold listener {} failed", listener.getClass().getName(), e);
    }
  }

  /** Replaces the state by a snapshot, or returns why it can't be used. */
  Optional<Failure> restore(FleetSnapshot snapshot) {
    lock.writeLock().lock();
    try {
      Optional<Failure> failure = state.restore(snapshot);
      if (failure.isPresent()) {
        return failure;
      }
    } finally {
      lock.writeLock().unlock();
    }
    listeners.forEach(listener -> notify(listener, listener::restored));
    return Optional.empty();
  }

  private void write(Runnable change) {
    lock.writeLock().lock();
    try {
      change.run();
    } finally {
      lock.writeLock().unlock();
    }
  }
}
