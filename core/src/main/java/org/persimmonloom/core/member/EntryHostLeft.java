package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Proposal;

/**
 * Ends the registration of an entry host that shuts down as planned. It is the last proposal of
 * that incarnation; the claims of the host are settled before it.
 */
public record EntryHostLeft() implements Proposal {}
