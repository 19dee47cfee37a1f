package org.persimmonloom.core.fold;

import java.util.List;
import java.util.Objects;

/**
 * One append to the platform log: the proposals that one entry host grouped.
 *
 * @param author name of the entry host
 * @param incarnation identifies one run of the author's process; higher for later runs
 * @param sequence rises with each batch of the incarnation, starting at 1. A retried append keeps
 *     its sequence, so that the fold can drop the second copy.
 * @param foldVersion version of the fold rules that the proposals were made for
 * @param timeMillis the author's clock when the batch was closed, in milliseconds since the epoch
 * @param proposals in the order in which they are to be decided
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
