package org.persimmonloom.core.member;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The registered entry hosts, and the filter for repeated and delayed batches.
 *
 * <p>Only the latest incarnation of a name is registered. A batch is folded only if its incarnation
 * is registered and live and its sequence is higher than that of every earlier batch of the
 * incarnation. A repeated append therefore has no second effect, and an abandoned append that
 * reaches the log after a later batch has no effect. Confined to the thread that folds.
 */
public final class EntryHostTable implements ReplicatedTable<EntryHostTable.Snapshot> {
  /** A registration that was not renewed for this long may be ended by the proposal of a peer. */
  public static final long LOST_AFTER_MILLIS = 25_000;

  /** Interval at which an entry host renews its registration. */
  public static final long RENEW_EVERY_MILLIS = 10_000;

  /**
   * Largest lead of an entry host's clock over the median clock of the others that can advance fold
   * time.
   */
  public static final long MAX_CLOCK_LEAD_MILLIS = 60_000;

  /**
   * How long the entry of an ended incarnation is kept, because its delayed batches must still be
   * recognised.
   */
  static final long ENDED_RETENTION_MILLIS = 24 * 60 * 60_000L;

  private final TreeMap<String, EntryHost> hosts = new TreeMap<>();
  private final List<EntryHostListener> listeners = new ArrayList<>();

  /** Contents of the table. */
  public record Snapshot(List<EntryHost> hosts) {
    public Snapshot {
      hosts = List.copyOf(hosts);
    }
  }

  /** Adds a listener. Listeners are called in the order in which they were added. */
  public void addListener(EntryHostListener listener) {
    listeners.add(listener);
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(EntryHostSeen.class, this::renew);
    registry.register(EntryHostLeft.class, (proposal, position) -> leave(position));
    registry.register(EntryHostLost.class, this::recordLoss);
  }

  /**
   * Checks whether a batch may be folded. Returns the reason if not; otherwise records the sequence
   * of the batch and returns empty. The first batch of an incarnation registers it, so it must
   * start with {@link EntryHostSeen}.
   */
  public Optional<Failure> admit(Batch batch, Position position) {
    EntryHost existing = hosts.get(batch.author());
    if (existing == null || batch.incarnation() > existing.incarnation()) {
      return admitFirst(batch, existing, position);
    }
    if (batch.incarnation() < existing.incarnation() || !existing.isLive()) {
      return Optional.of(
          Failure.of(ResultCode.STALE_INCARNATION, batch.incarnation(), batch.author()));
    }
    if (batch.sequence() <= existing.lastSequence()) {
      return Optional.of(
          Failure.of(ResultCode.DUPLICATE_BATCH, batch.sequence(), batch.incarnation()));
    }
    hosts.put(batch.author(), existing.withBatch(batch.sequence(), batch.timeMillis()));
    return Optional.empty();
  }

  private Optional<Failure> admitFirst(Batch batch, EntryHost existing, Position position) {
    boolean isRegistration =
        !batch.proposals().isEmpty() && batch.proposals().get(0) instanceof EntryHostSeen;
    if (!isRegistration) {
      return Optional.of(
          Failure.of(ResultCode.STALE_INCARNATION, batch.incarnation(), batch.author()));
    }
    if (existing != null && existing.isLive()) {
      endIncarnation(existing, position);
    }
    EntryHostSeen seen = (EntryHostSeen) batch.proposals().get(0);
    hosts.put(
        batch.author(),
        new EntryHost(
            batch.author(),
            batch.incarnation(),
            batch.sequence(),
            batch.timeMillis(),
            true,
            position.timeMillis(),
            seen.peerAddress(),
            seen.operatorAddress(),
            seen.dataCentre()));
    return Optional.empty();
  }

  private Either<Failure, String> renew(EntryHostSeen seen, Position position) {
    EntryHost existing = hosts.get(position.author());
    hosts.put(
        position.author(),
        new EntryHost(
            existing.name(),
            existing.incarnation(),
            existing.lastSequence(),
            existing.clockMillis(),
            true,
            position.timeMillis(),
            seen.peerAddress(),
            seen.operatorAddress(),
            seen.dataCentre()));
    return Either.right("registered until " + (position.timeMillis() + LOST_AFTER_MILLIS));
  }

  private Either<Failure, String> leave(Position position) {
    endIncarnation(hosts.get(position.author()), position);
    return Either.right("left");
  }

  private Either<Failure, String> recordLoss(EntryHostLost lost, Position position) {
    EntryHost existing = hosts.get(lost.name());
    if (existing == null || existing.incarnation() != lost.incarnation() || !existing.isLive()) {
      return Either.left(Failure.of(ResultCode.STALE_INCARNATION, lost.incarnation(), lost.name()));
    }
    long silentMillis = position.timeMillis() - existing.seenMillis();
    if (silentMillis < LOST_AFTER_MILLIS) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT, lost.name(), "seen " + silentMillis + " ms ago"));
    }
    endIncarnation(existing, position);
    return Either.right("silent for " + silentMillis + " ms");
  }

  private void endIncarnation(EntryHost host, Position position) {
    hosts.put(host.name(), host.ended());
    for (EntryHostListener listener : listeners) {
      listener.incarnationEnded(host.name(), host.incarnation(), position);
    }
  }

  @Override
  public void advance(long foldTimeMillis) {
    hosts
        .values()
        .removeIf(
            host -> !host.isLive() && foldTimeMillis - host.seenMillis() > ENDED_RETENTION_MILLIS);
  }

  /**
   * Returns the latest fold time that a batch of this author may set: the median clock of the other
   * live entry hosts plus {@link #MAX_CLOCK_LEAD_MILLIS}, in milliseconds since the epoch. A clock
   * that runs ahead therefore can't expire state that the other hosts still use. Returns {@link
   * Long#MAX_VALUE} if there are no other live hosts.
   */
  public long clockLimit(String author) {
    long[] clocks =
        hosts.values().stream()
            .filter(host -> host.isLive() && !host.name().equals(author))
            .mapToLong(EntryHost::clockMillis)
            .sorted()
            .toArray();
    return clocks.length == 0
        ? Long.MAX_VALUE
        : clocks[(clocks.length - 1) / 2] + MAX_CLOCK_LEAD_MILLIS;
  }

  /** Returns the entry with this name, live or ended. */
  public Optional<EntryHost> find(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  /** Returns whether this incarnation is registered and live. */
  public boolean isLive(String name, long incarnation) {
    EntryHost host = hosts.get(name);
    return host != null && host.isLive() && host.incarnation() == incarnation;
  }

  /** Returns the live entry hosts, sorted by name. */
  public List<EntryHost> live() {
    return hosts.values().stream().filter(EntryHost::isLive).toList();
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(List.copyOf(hosts.values()));
  }

  @Override
  public void restore(Snapshot snapshot) {
    hosts.clear();
    for (EntryHost host : snapshot.hosts()) {
      hosts.put(host.name(), host);
    }
  }
}
