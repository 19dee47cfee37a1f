package org.persimmonloom.core.fold;

/**
 * One table of the replicated state, with the proposals that change it.
 *
 * <p>Implementations use sorted collections wherever order reaches a decision or the snapshot, and
 * read no clock: fold time is the only time they know. Confined to the thread that folds; readers
 * hold the lock of the surrounding replica.
 *
 * @param <S> record that holds the whole table
 */
public interface ReplicatedTable<S> {
  /** Registers the handlers of this part's proposals. */
  void registerHandlers(ProposalRegistry registry);

  /** Applies what falls due at the given fold time, before the proposals of a batch are decided. */
  default void advance(long foldTimeMillis) {}

  /** Returns the whole table. Equal tables return records that encode to equal bytes. */
  S snapshot();

  /** Replaces the table by the snapshot's. */
  void restore(S snapshot);
}
