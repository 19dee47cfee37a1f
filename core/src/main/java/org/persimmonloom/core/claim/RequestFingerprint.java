package org.persimmonloom.core.claim;

import net.openhft.hashing.LongHashFunction;

/** Hash of a request, to detect different requests with the same key. Stateless. */
public final class RequestFingerprint {
  private RequestFingerprint() {}

  /** Returns a hash of method, target and body. */
  public static long of(String method, String target, byte[] body) {
    LongHashFunction hash = LongHashFunction.xx();
    return hash.hashLongs(
        new long[] {hash.hashChars(method), hash.hashChars(target), hash.hashBytes(body)});
  }
}
