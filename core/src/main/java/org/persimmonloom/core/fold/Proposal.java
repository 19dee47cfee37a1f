package org.persimmonloom.core.fold;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A change that an entry host asks the fold to make. Implementations are records, named in {@link
 * ProposalTypes}. Whether a proposal takes effect is decided by the fold at the offset where it
 * stands, and the same on every entry host.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface Proposal {}
