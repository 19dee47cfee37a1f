package org.persimmonloom.core.maintenance;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks the live entry hosts as proposers of a step, by rendezvous hashing of the step's subject.
 * Hosts with a higher rank wait longer before they propose, so most steps are proposed once and the
 * loss of an entry host only delays them. Stateless.
 */
public final class ProposerOrder {
  private ProposerOrder() {}

  /**
   * Returns how many of {@code members} rank before {@code self} for this subject; 0 for the first
   * proposer.
   */
  public static int rank(String self, Collection<String> members, String subject) {
    long own = weight(self, subject);
    int rank = 0;
    for (String member : members) {
      long other = weight(member, subject);
      boolean isBefore = other > own || (other == own && member.compareTo(self) < 0);
      rank += isBefore ? 1 : 0;
    }
    return rank;
  }

  private static long weight(String member, String subject) {
    return LongHashFunction.xx().hashChars(subject + '\n' + member);
  }
}
