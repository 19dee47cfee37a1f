package org.persimmonloom.core.fold;

/**
 * Where and when the fold decides a proposal.
 *
 * @param offset offset of the batch in the platform log
 * @param index index of the proposal in its batch
 * @param timeMillis fold time: the highest accepted batch time so far, in milliseconds since the
 *     epoch
 * @param author entry host that proposed
 * @param incarnation the author's incarnation
 * @param sequence sequence of the batch
 */
public record Position(
    long offset, int index, long timeMillis, String author, long incarnation, long sequence) {}
