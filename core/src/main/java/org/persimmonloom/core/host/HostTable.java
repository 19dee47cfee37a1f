package org.persimmonloom.core.host;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.Function;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.fold.ReplicatedTable;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.release.PoolOccupancy;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The hosts of the fleet and the pool of each. Confined to the thread that folds.
 *
 * <p>Each host has one entry with one pool name, so at every offset it is in exactly one pool. For
 * each pool the table keeps the offset of the last change to its hosts, by which handlers recognise
 * a stale plan.
 */
public final class HostTable implements ReplicatedTable<HostTable.Snapshot>, PoolOccupancy {
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final TreeMap<String, TreeMap<String, Host>> byPool = new TreeMap<>();
  private final TreeMap<String, Long> poolChangedOffsets = new TreeMap<>();
  private final List<HostListener> listeners = new ArrayList<>();
  private final Function<String, Optional<PoolDefinition>> pools;

  /** The contents of the table. */
  public record Snapshot(List<Host> hosts, SortedMap<String, Long> poolChangedOffsets) {
    public Snapshot {
      hosts = List.copyOf(hosts);
    }
  }

  /** Creates an empty table; {@code pools} looks up the definition of a pool by its name. */
  public HostTable(Function<String, Optional<PoolDefinition>> pools) {
    this.pools = pools;
  }

  /** Adds a listener. Listeners are called in the order in which they were added. */
  public void addListener(HostListener listener) {
    listeners.add(listener);
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(HostAdmitted.class, this::admit);
  }

  private Either<Failure, String> admit(HostAdmitted admitted, Position position) {
    HostFacts facts = admitted.facts();
    Host known = hosts.get(facts.name());
    if (known != null) {
      return update(known, facts, position);
    }
    Optional<PoolDefinition> pool = pools.apply(facts.homePool());
    if (pool.isEmpty()) {
      return Either.left(Failure.of(ResultCode.POOL_UNKNOWN, facts.homePool()));
    }
    if (!acceptsKind(pool.get(), facts.kind())) {
      return Either.left(
          Failure.of(
              ResultCode.MOVE_REFUSED,
              facts.name(),
              facts.homePool(),
              "the pool holds no hosts of kind " + facts.kind()));
    }
    put(
        new Host(
            facts, facts.homePool(), HostState.AVAILABLE, position.offset(), position.timeMillis()),
        position);
    return Either.right(facts.name() + " joined pool " + facts.homePool());
  }

  private Either<Failure, String> update(Host known, HostFacts facts, Position position) {
    if (known.facts().equals(facts)) {
      return Either.left(
          Failure.of(ResultCode.ALREADY_APPLIED, facts.name() + " in pool " + known.pool()));
    }
    if (known.facts().kind() != facts.kind()) {
      return Either.left(
          Failure.of(
              ResultCode.HOST_STATE_CONFLICT, facts.name(), "of kind " + known.facts().kind()));
    }
    put(known.withFacts(facts), position);
    return Either.right("facts of " + facts.name() + " updated");
  }

  /** Returns whether hosts of this kind may belong to the pool. */
  public static boolean acceptsKind(PoolDefinition pool, HostKind kind) {
    return pool.holdsWorkers() == (kind == HostKind.WORKER);
  }

  /** Returns the definition of a pool. */
  public Optional<PoolDefinition> pool(String name) {
    return pools.apply(name);
  }

  /**
   * Adds or replaces a host, updates the change offset of its pools and calls the listeners. Only
   * handlers of the fold call this.
   */
  public void put(Host host, Position position) {
    Host before = hosts.get(host.name());
    removeEntry(before);
    addEntry(host);
    if (before != null) {
      poolChangedOffsets.put(before.pool(), position.offset());
    }
    poolChangedOffsets.put(host.pool(), position.offset());
    listeners.forEach(listener -> listener.hostChanged(before, host, position));
  }

  /**
   * Replaces a host to whose drain a confirmation was added. Neither updates the change offset of
   * the pool nor calls the listeners, since no plan depends on a confirmation.
   */
  public void putConfirmedDrain(Host host) {
    removeEntry(hosts.get(host.name()));
    addEntry(host);
  }

  /**
   * Removes a host, updates the change offset of its pool and calls the listeners. Only handlers of
   * the fold call this.
   */
  public void remove(Host host, Position position) {
    removeEntry(host);
    poolChangedOffsets.put(host.pool(), position.offset());
    listeners.forEach(listener -> listener.hostChanged(host, null, position));
  }

  private void addEntry(Host host) {
    hosts.put(host.name(), host);
    byPool.computeIfAbsent(host.pool(), unused -> new TreeMap<>()).put(host.name(), host);
  }

  private void removeEntry(Host host) {
    if (host != null) {
      hosts.remove(host.name());
      byPool.get(host.pool()).remove(host.name());
    }
  }

  /** Returns the host with this name. */
  public Optional<Host> find(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  /** Returns the host with this name, or {@link ResultCode#HOST_UNKNOWN}. */
  public Either<Failure, Host> require(String name) {
    Host host = hosts.get(name);
    return host == null
        ? Either.left(Failure.of(ResultCode.HOST_UNKNOWN, name))
        : Either.right(host);
  }

  /** Returns an unmodifiable view of all hosts, sorted by name. */
  public Collection<Host> all() {
    return Collections.unmodifiableCollection(hosts.values());
  }

  /** Returns the hosts of a pool in any state, sorted by name. */
  public List<Host> inPool(String pool) {
    TreeMap<String, Host> members = byPool.get(pool);
    return members == null ? List.of() : List.copyOf(members.values());
  }

  /** Returns the offset of the last change to the pool's hosts; -1 if it never had a host. */
  public long poolChangedOffset(String pool) {
    return poolChangedOffsets.getOrDefault(pool, -1L);
  }

  @Override
  public int hostCount(String pool) {
    TreeMap<String, Host> members = byPool.get(pool);
    return members == null ? 0 : members.size();
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(List.copyOf(hosts.values()), new TreeMap<>(poolChangedOffsets));
  }

  @Override
  public void restore(Snapshot snapshot) {
    hosts.clear();
    byPool.clear();
    poolChangedOffsets.clear();
    poolChangedOffsets.putAll(snapshot.poolChangedOffsets());
    snapshot.hosts().forEach(this::addEntry);
  }
}
