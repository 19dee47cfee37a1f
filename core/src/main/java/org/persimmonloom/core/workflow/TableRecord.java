package org.persimmonloom.core.workflow;

/**
 * A record of a keyed table. The newest record of a key is in force; a record with a null value
 * removes the key.
 *
 * @param key key of the entry
 * @param value value of the entry; null to remove the key
 */
public record TableRecord(String key, byte[] value) {}
