package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Proposal;

/**
 * Ends the registration of an entry host whose heartbeats no longer arrive at its peers. Accepted
 * only if the registration was not renewed for {@link EntryHostTable#LOST_AFTER_MILLIS} of fold
 * time.
 *
 * @param name name of the lost entry host
 * @param incarnation the incarnation that is lost
 */
public record EntryHostLost(String name, long incarnation) implements Proposal {}
