package org.persimmonloom.runtime.workflow;

/**
 * The newest record of the ownership table.
 *
 * @param host name of the entry host
 * @param incarnation start of the host's process, which tells its lives apart
 * @param fence offset of the record that won the ownership; 0 in that record itself
 * @param isReleased whether the owner has given the ownership up
 */
public record OwnershipRecord(String host, long incarnation, long fence, boolean isReleased) {}
