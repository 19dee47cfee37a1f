package org.persimmonloom.runtime.workflow;

/**
 * What an entry host registers of itself. Immutable.
 *
 * @param address IP address and port at which it serves other entry hosts
 * @param processors processor time that it may use, in cores
 */
public record HostRecord(String address, double processors) {}
