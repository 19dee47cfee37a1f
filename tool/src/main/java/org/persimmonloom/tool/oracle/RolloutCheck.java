package org.persimmonloom.tool.oracle;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Follows which entry host runs which release note, judged by how the host answers. Safe for any
 * thread.
 *
 * <p>A note is recognised by a service that it adds. The roll-out time runs from when its operator
 * sent the note to the answer of the last entry host that was up then, so it is an upper bound. A
 * host that has run a note, or that was started after it was accepted and takes requests, must
 * never answer as if it didn't know it.
 */
public final class RolloutCheck {
  /** A roll-out that takes longer fails the verdict; the target for the future size. */
  public static final long LIMIT_MILLIS = 7_000;

  private final Map<String, Note> notes = new LinkedHashMap<>();
  private final Set<String> gone = new HashSet<>();
  private long reversions;

  /** One accepted note. */
  private static final class Note {
    private final long sentMillis;
    private final Set<String> expected;
    private final Map<String, Long> seen = new LinkedHashMap<>();

    private Note(long sentMillis, Set<String> expected) {
      this.sentMillis = sentMillis;
      this.expected = Set.copyOf(expected);
    }
  }

  /** Records an accepted note and the entry hosts that are up. */
  public synchronized void accepted(String note, long sentMillis, Set<String> entryHosts) {
    notes.put(note, new Note(sentMillis, entryHosts));
  }

  /** Records that an entry host answered as one that runs the note. */
  public synchronized void runs(String note, String entryHost, long nowMillis) {
    notes.get(note).seen.putIfAbsent(entryHost, nowMillis);
  }

  /** Records that an entry host that takes requests answered as one that doesn't know the note. */
  public synchronized void doesNotRun(String note, String entryHost) {
    Note state = notes.get(note);
    if (state.seen.containsKey(entryHost) || !state.expected.contains(entryHost)) {
      reversions++;
    }
  }

  /** Records that an entry host was stopped or lost; it is no longer waited for. */
  public synchronized void gone(String entryHost) {
    gone.add(entryHost);
  }

  /** Returns the longest roll-out in milliseconds; 0 without notes. */
  public synchronized long maxMillis() {
    return notes.values().stream()
        .flatMap(
            note ->
                note.seen.entrySet().stream()
                    .filter(it -> note.expected.contains(it.getKey()))
                    .map(it -> it.getValue() - note.sentMillis))
        .mapToLong(Long::longValue)
        .max()
        .orElse(0);
  }

  /** Returns how often an entry host that was up never ran an accepted note. */
  public synchronized long missing() {
    return notes.values().stream()
        .mapToLong(
            note ->
                note.expected.stream()
                    .filter(host -> !gone.contains(host) && !note.seen.containsKey(host))
                    .count())
        .sum();
  }

  /** Returns how often an entry host answered by an older note than it ran or should run. */
  public synchronized long reversions() {
    return reversions;
  }
}
