package org.persimmonloom.runtime.workflow;

import java.util.Objects;
import okhttp3.HttpUrl;

/**
 * Registration of an entry host. Immutable.
 *
 * @param address IP address and port on which it serves other entry hosts
 * @param processors processor time available to it, in cores
 */
public record HostRecord(String address, double processors) {
  /** The address may not be null. */
  public HostRecord {
    Objects.requireNonNull(address);
  }

  /** Returns whether requests can be sent to the address. */
  boolean hasValidAddress() {
    return HttpUrl.parse("http://" + address) != null;
  }
}
