package org.persimmonloom.core.fold;

/**
 * The position in the log and the fold time at which a proposal is decided.
 *
 * @param offset offset of the batch in the platform log
 * @param index index of the proposal in its batch
 * @param timeMillis fold time: the highest accepted batch time so far, in milliseconds since the
 *     epoch
 * @param author name of the entry host that made the proposal
 * @param incarnation the author's incarnation
 * @param sequence sequence number of the batch within the incarnation
 */
public record Position(
    long offset, int index, long timeMillis, String author, long incarnation, long sequence) {}
