package org.persimmonloom.core.workflow;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A record of a keyed table. The newest record of a key is in force; a record with a null value
 * removes the key.
 *
 * @param key key of the entry
 * @param value value of the entry; null to remove the key
 */
public record TableRecord(String key, byte[] value) {
  /** Maximum length of a key that the store can hold, in bytes of UTF-8. */
  private static final int MAX_KEY_BYTES = 255;

  /** The key may not be null. */
  public TableRecord {
    Objects.requireNonNull(key);
  }

  /** Returns whether the store can hold the key. */
  public boolean hasStorableKey() {
    return keyBytes() <= MAX_KEY_BYTES;
  }

  /** Returns the size of the key and the value, in bytes. */
  public int sizeBytes() {
    return keyBytes() + (value == null ? 0 : value.length);
  }

  private int keyBytes() {
    return key.getBytes(StandardCharsets.UTF_8).length;
  }
}
