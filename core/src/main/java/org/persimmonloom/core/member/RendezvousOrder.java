package org.persimmonloom.core.member;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: every host computes the same order of names for a key without communication,
 * and adding or removing a name does not change the relative order of the others. Stateless.
 */
public final class RendezvousOrder {
  private RendezvousOrder() {}

  /** Returns the distinct names ordered by their weight for {@code key}, highest first. */
  public static List<String> of(Collection<String> names, String key) {
    return names.stream()
        .distinct()
        .sorted(
            Comparator.comparingLong((String name) -> weight(name, key))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  /**
   * Returns the index of {@code name} in the order for {@code key}, or the number of distinct names
   * if it is not among them.
   */
  public static int rank(Collection<String> names, String key, String name) {
    List<String> order = of(names, key);
    int index = order.indexOf(name);
    return index < 0 ? order.size() : index;
  }

  private static long weight(String name, String key) {
    return LongHashFunction.xx().hashChars(name + '\u0000' + key);
  }
}
