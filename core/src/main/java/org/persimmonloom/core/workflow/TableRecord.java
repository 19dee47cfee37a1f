package org.persimmonloom.core.workflow;

/**
 * One record of a keyed table: the newest record of a key counts, a record without value removes
 * the key.
 *
 * @param key name of the entry
 * @param value content, or null to remove the key
 */
public record TableRecord(String key, byte[] value) {}
