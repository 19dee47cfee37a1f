package org.persimmonloom.core.member;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The latest heartbeat of each peer, with the time at which the peer was alive.
 *
 * <p>The time of a heartbeat is a moment of the local clock at which the peer is known to have been
 * alive, not the moment of arrival: a process that was paused finds old heartbeats in its socket
 * buffers and must not treat them as recent. Confined to one thread or guarded by its owner's lock.
 * All times are in milliseconds of the local clock.
 */
public final class PeerView {
  /**
   * A directly connected peer that has been silent for longer than this is suspect: it gets no
   * share of the slots.
   */
  public static final long SUSPECT_AFTER_MILLIS = 2_000;

  /**
   * The corresponding limit for peers without a direct connection; relayed heartbeats take several
   * intervals to arrive.
   */
  public static final long RELAYED_SUSPECT_AFTER_MILLIS = 6_000;

  /** A peer that has been silent for this long may be proposed as lost. */
  public static final long LOST_AFTER_MILLIS = 10_000;

  private static final int MAX_READ_EVIDENCE = 1_024;

  private final ArrayDeque<ReadEvidence> readEvidence = new ArrayDeque<>();
  private final TreeMap<String, ReceivedHeartbeat> heartbeats = new TreeMap<>();
  private final TreeMap<String, Long> knownSinceMillis = new TreeMap<>();

  /**
   * The latest heartbeat of a peer.
   *
   * @param aliveMillis moment at which the peer is known to have been alive
   * @param isDirect whether the heartbeat came from the peer itself and was not relayed
   */
  public record ReceivedHeartbeat(Heartbeat heartbeat, long aliveMillis, boolean isDirect) {
    /** Returns the latest moment at which the peer is known to have read the log to its end. */
    public long logReadMillis() {
      return aliveMillis - heartbeat.logReadAgoMillis();
    }
  }

  /**
   * Evidence that a peer read the log to its end.
   *
   * @param nextOffset first offset that the peer had not folded when it sent the heartbeat
   * @param readMillis moment at which the log had no records from that offset on
   */
  public record ReadEvidence(long nextOffset, long readMillis) {}

  /**
   * Replaces the names of the registered peers. The silence of a new peer is counted from this
   * call. Heartbeats with a time in the future are dropped: after a backward step of the clock they
   * would block later heartbeats and make a silent peer appear alive.
   */
  public void setPeers(Collection<String> names, long nowMillis) {
    heartbeats.values().removeIf(entry -> entry.aliveMillis() > nowMillis);
    knownSinceMillis.replaceAll((name, millis) -> Math.min(millis, nowMillis));
    knownSinceMillis.keySet().retainAll(names);
    names.forEach(name -> knownSinceMillis.putIfAbsent(name, nowMillis));
    heartbeats
        .values()
        .removeIf(
            entry ->
                !names.contains(entry.heartbeat().name())
                    && nowMillis - entry.aliveMillis() > LOST_AFTER_MILLIS);
  }

  /**
   * Stores a heartbeat unless a later one of the same incarnation, or one of a later incarnation of
   * the peer, is stored.
   */
  public void receive(Heartbeat heartbeat, long aliveMillis, boolean isDirect) {
    ReceivedHeartbeat latest = heartbeats.get(heartbeat.name());
    boolean isOutdated =
        latest != null
            && (latest.heartbeat().incarnation() > heartbeat.incarnation()
                || (latest.heartbeat().incarnation() == heartbeat.incarnation()
                    && latest.aliveMillis() > aliveMillis));
    if (!isOutdated) {
      ReceivedHeartbeat entry = new ReceivedHeartbeat(heartbeat, aliveMillis, isDirect);
      heartbeats.put(heartbeat.name(), entry);
      addReadEvidence(new ReadEvidence(heartbeat.nextOffset(), entry.logReadMillis()), aliveMillis);
    }
  }

  private void addReadEvidence(ReadEvidence evidence, long aliveMillis) {
    long oldestMillis = aliveMillis - CurrencyRule.CURRENT_FOR_MILLIS;
    readEvidence.removeIf(other -> other.readMillis() < oldestMillis);
    if (evidence.readMillis() >= oldestMillis) {
      readEvidence.add(evidence);
    }
    if (readEvidence.size() > MAX_READ_EVIDENCE) {
      readEvidence.poll();
    }
  }

  /**
   * Returns the recent read evidence of all peers; a view. It includes evidence from earlier
   * heartbeats, because the latest ones are ahead of this host while it still fetches the newest
   * records.
   */
  public Collection<ReadEvidence> readEvidence() {
    return readEvidence;
  }

  /** Returns the latest heartbeat of a peer. */
  public Optional<ReceivedHeartbeat> find(String name) {
    return Optional.ofNullable(heartbeats.get(name));
  }

  /** Returns a view of the latest heartbeat of each peer, sorted by name. */
  public Collection<ReceivedHeartbeat> heartbeats() {
    return heartbeats.values();
  }

  /** Returns how long the peer has been silent, in milliseconds. */
  public long silentMillis(String name, long nowMillis) {
    ReceivedHeartbeat entry = heartbeats.get(name);
    long lastMillis = entry == null ? knownSinceMillis.getOrDefault(name, 0L) : entry.aliveMillis();
    return Math.max(0, nowMillis - lastMillis);
  }

  /**
   * Returns whether no heartbeat of the peer is stored or the peer has been silent for too long.
   */
  public boolean isSuspect(String name, long nowMillis) {
    ReceivedHeartbeat entry = heartbeats.get(name);
    if (entry == null) {
      return true;
    }
    long limitMillis = entry.isDirect() ? SUSPECT_AFTER_MILLIS : RELAYED_SUSPECT_AFTER_MILLIS;
    return nowMillis - entry.aliveMillis() > limitMillis;
  }
}
