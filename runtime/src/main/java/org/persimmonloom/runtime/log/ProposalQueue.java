package org.persimmonloom.runtime.log;

import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The proposals that wait for a batch, in order. Each entry goes into one batch as a whole. Guarded
 * by its owner's lock.
 */
final class ProposalQueue {
  static final int MAX_BATCH_PROPOSALS = 256;

  /** Room for proposals in a batch; the rest of the log's 64 KiB is for the batch's own fields. */
  static final int MAX_BATCH_BYTES = 60 * 1024;

  /** One place in a batch is kept for the renewal of the registration. */
  private static final int MAX_ENTRY_PROPOSALS = MAX_BATCH_PROPOSALS - 1;

  static final int REGISTRATION_BYTES = 512;

  private static final int MAX_QUEUED_PROPOSALS = 20_000;
  private static final int MAX_QUEUED_BYTES = 16 << 20;

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private int proposals;
  private int bytes;

  /** Proposals that are decided together, with the future of their verdicts. */
  record Entry(
      List<? extends Proposal> proposals,
      int bytes,
      CompletableFuture<List<ProposalResult>> future) {}

  /** Returns an entry, or why it can never be part of a batch. Needs no lock. */
  static Either<Failure, Entry> entry(List<? extends Proposal> proposals) {
    int bytes = 0;
    for (Proposal proposal : proposals) {
      bytes += ProposalTypes.CODEC.encode(proposal).length;
    }
    int limit = MAX_BATCH_BYTES - REGISTRATION_BYTES;
    if (bytes > limit || proposals.size() > MAX_ENTRY_PROPOSALS) {
      return Either.left(
          Failure.of(
              ResultCode.PROPOSAL_TOO_LARGE, proposals.size(), bytes, MAX_ENTRY_PROPOSALS, limit));
    }
    return Either.right(new Entry(List.copyOf(proposals), bytes, new CompletableFuture<>()));
  }

  /** Adds an entry, or returns why there is no room. */
  Optional<Failure> add(Entry entry) {
    boolean isFull =
        proposals + entry.proposals().size() > MAX_QUEUED_PROPOSALS
            || bytes + entry.bytes() > MAX_QUEUED_BYTES;
    if (isFull) {
      return Optional.of(Failure.of(ResultCode.LOG_UNAVAILABLE, "the queue of proposals is full"));
    }
    entries.add(entry);
    proposals += entry.proposals().size();
    bytes += entry.bytes();
    return Optional.empty();
  }

  /** Removes the entries of the next batch; those whose future was cancelled are dropped. */
  List<Entry> takeBatch(int reservedProposals) {
    List<Entry> batch = new ArrayList<>();
    int batchProposals = reservedProposals;
    int batchBytes = reservedProposals * REGISTRATION_BYTES;
    while (!entries.isEmpty()) {
      Entry next = entries.peek();
      boolean isWithdrawn = next.future().isDone();
      boolean fits =
          batchProposals + next.proposals().size() <= MAX_BATCH_PROPOSALS
              && batchBytes + next.bytes() <= MAX_BATCH_BYTES;
      if (!isWithdrawn && !fits) {
        break;
      }
      remove();
      if (!isWithdrawn) {
        batch.add(next);
        batchProposals += next.proposals().size();
        batchBytes += next.bytes();
      }
    }
    return batch;
  }

  private Entry remove() {
    Entry entry = entries.poll();
    proposals -= entry.proposals().size();
    bytes -= entry.bytes();
    return entry;
  }

  /** Removes and returns everything. */
  List<Entry> takeAll() {
    List<Entry> all = new ArrayList<>();
    while (!entries.isEmpty()) {
      all.add(remove());
    }
    return all;
  }

  int proposals() {
    return proposals;
  }
}
