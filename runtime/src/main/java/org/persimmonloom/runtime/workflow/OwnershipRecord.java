package org.persimmonloom.runtime.workflow;

import java.util.Objects;

/**
 * A claim, renewal or release in the ownership table.
 *
 * @param host name of the entry host
 * @param incarnation start time of the host's process, which distinguishes restarts
 * @param fence fence of the owner, which is one more than the offset of its claim; 0 in the claim
 *     itself
 * @param isReleased whether the owner has released the ownership
 */
public record OwnershipRecord(String host, long incarnation, long fence, boolean isReleased) {
  /** The host may not be null. */
  public OwnershipRecord {
    Objects.requireNonNull(host);
  }
}
