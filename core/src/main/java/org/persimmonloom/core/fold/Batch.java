package org.persimmonloom.core.fold;

import java.util.List;
import java.util.Objects;

/**
 * One record of the platform log: proposals of one entry host that are appended together.
 * Immutable.
 *
 * @param author name of the entry host
 * @param incarnation identifies one run of the author's process; higher for later runs
 * @param sequence starts at 1 and increases with each batch of the incarnation. A retried append
 *     keeps its sequence, so the fold can drop the second copy.
 * @param foldVersion version of the fold rules for which the proposals were made
 * @param timeMillis time of the author's clock at which the batch was closed, in milliseconds since
 *     the epoch
 * @param proposals the proposals in the order in which the fold decides them
 */
public record Batch(
    String author,
    long incarnation,
    long sequence,
    int foldVersion,
    long timeMillis,
    List<Proposal> proposals) {
  public Batch {
    Objects.requireNonNull(author, "author");
    proposals = List.copyOf(proposals);
  }
}
