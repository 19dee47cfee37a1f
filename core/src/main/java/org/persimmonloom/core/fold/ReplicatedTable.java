package org.persimmonloom.core.fold;

/**
 * One table of the replicated state, with the handlers of the proposals that change it.
 *
 * <p>Implementations use sorted collections wherever the order affects a decision or the snapshot.
 * They read no clock and use fold time only. Confined to the thread that folds; readers hold the
 * lock of the surrounding replica.
 *
 * @param <S> record with the contents of the table
 */
public interface ReplicatedTable<S> {
  /** Registers the handlers of the proposals that change this table. */
  void registerHandlers(ProposalRegistry registry);

  /**
   * Applies the changes, such as expiries, that depend on fold time alone. Called for each batch
   * before its proposals are decided.
   *
   * @param foldTimeMillis fold time of the batch in milliseconds since the epoch
   */
  default void advance(long foldTimeMillis) {}

  /** Returns the contents of the table. Equal tables return records that encode to equal bytes. */
  S snapshot();

  /** Replaces the contents of the table by those of the snapshot. */
  void restore(S snapshot);
}
