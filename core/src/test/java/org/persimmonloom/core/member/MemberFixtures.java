package org.persimmonloom.core.member;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

final class MemberFixtures {
  private MemberFixtures() {}

  /** Returns the live hosts entry-1 to entry-n of incarnation 1. */
  static List<EntryHost> registered(int count, long seenMillis) {
    return IntStream.rangeClosed(1, count)
        .mapToObj(
            number ->
                new EntryHost(
                    "entry-" + number,
                    1,
                    1,
                    seenMillis,
                    true,
                    seenMillis,
                    "127.0.0.1:1",
                    "127.0.0.1:2",
                    "dc1"))
        .toList();
  }

  static Heartbeat heartbeat(String name, long incarnation, long nextOffset) {
    return new Heartbeat(name, incarnation, nextOffset, 1, 0, Map.of(), List.of(), List.of());
  }
}
