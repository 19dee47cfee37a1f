package org.persimmonloom.core.fold;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A change of the replicated state that an entry host requests by a record in the log.
 * Implementations are records, with their names on the wire in {@link ProposalTypes}. The fold
 * decides at the offset of the record whether the proposal takes effect; the decision is the same
 * on every entry host.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public interface Proposal {}
