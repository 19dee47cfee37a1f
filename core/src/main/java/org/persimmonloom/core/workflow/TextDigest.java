package org.persimmonloom.core.workflow;

import java.util.zip.CRC32C;

/**
 * Short digests of texts, by which log lines of several processes tell whether a text has changed.
 * Stateless.
 */
public final class TextDigest {
  private static final String OF_EMPTY_TEXT = "-";

  private TextDigest() {}

  /**
   * Returns 8 hexadecimal digits; a hyphen for an empty text. Computed from the UTF-16 code units,
   * since an encoder to UTF-8 replaces those that it cannot encode.
   */
  public static String of(String text) {
    if (text.isEmpty()) {
      return OF_EMPTY_TEXT;
    }
    CRC32C checksum = new CRC32C();
    for (int i = 0; i < text.length(); i++) {
      checksum.update(text.charAt(i) >>> Byte.SIZE);
      checksum.update(text.charAt(i));
    }
    return String.format("%08x", checksum.getValue());
  }
}
