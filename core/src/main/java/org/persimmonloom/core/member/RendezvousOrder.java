package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: every host computes the same order of names for a key, without exchanging
 * anything, and a change of the names leaves the order of the others as it was. Stateless.
 */
public final class RendezvousOrder {
  private RendezvousOrder() {}

  /** Returns the names in the order of their weight for {@code key}, highest first. */
  public static List<String> of(Collection<String> names, String key) {
    return names.stream()
        .distinct()
        .sorted(
            Comparator.comparingLong((String name) -> weight(name, key))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /** Returns the place of {@code name} in the order, or the number of names if it is not there. */
  public static int rank(Collection<String> names, String key, String name) {
    List<String> order = of(names, key);
    int index = order.indexOf(name);
    return index < 0 ? order.size() : index;
  }

  private static long weight(String name, String key) {
    return LongHashFunction.xx().hashChars(name + '\u0000' + key);
  }
}
