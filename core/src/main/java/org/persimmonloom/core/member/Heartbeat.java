package org.persimmonloom.core.member;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.persimmonloom.core.routing.ServiceLoad;

/**
 * State that an entry host sends to its peers every 500 ms. Encoded as an array, without field
 * names, because heartbeats may use only a few kilobytes per second and host.
 *
 * @param name the sender
 * @param incarnation the sender's incarnation
 * @param nextOffset first offset that the sender has not folded
 * @param releaseRevision revision of the release note that is in effect at the sender
 * @param logReadAgoMillis time since the sender last read the log to its end; {@link #NEVER} if it
 *     never did
 * @param loads load of each service at the sender, by service name
 * @param leaving endpoints that the sender observed to be leaving
 * @param drained draining hosts at which the sender has no requests in progress and to which it
 *     sends none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonIgnoreProperties(ignoreUnknown = true)
public record Heartbeat(
    String name,
    long incarnation,
    long nextOffset,
    long releaseRevision,
    long logReadAgoMillis,
    Map<String, ServiceLoad> loads,
    List<String> leaving,
    List<String> drained) {
  /** Age of an event that never happened; small enough that sums of ages do not overflow. */
  public static final long NEVER = Long.MAX_VALUE / 4;

  public Heartbeat {
    Objects.requireNonNull(name, "name");
    loads = loads == null ? Map.of() : Collections.unmodifiableMap(new TreeMap<>(loads));
    leaving = leaving == null ? List.of() : List.copyOf(leaving);
    drained = drained == null ? List.of() : List.copyOf(drained);
    if (logReadAgoMillis < 0 || logReadAgoMillis > NEVER) {
      throw new IllegalArgumentException("logReadAgoMillis " + logReadAgoMillis);
    }
  }
}
