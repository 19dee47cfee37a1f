package org.persimmonloom.core.member;

import org.persimmonloom.core.fold.Proposal;

/** The last record of an entry host that stops as planned; its claims are settled before. */
public record EntryHostLeft() implements Proposal {}
