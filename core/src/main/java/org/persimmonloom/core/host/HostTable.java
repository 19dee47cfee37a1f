package org.persimmonloom.core.host;

import io.vavr.control.Either;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.persimmonloom.core.fold.FoldPart;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalRegistry;
import org.persimmonloom.core.release.PoolOccupancy;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The hosts and the one pool that each belongs to. Confined to the thread that folds.
 *
 * <p>A host is one entry with one pool name, so that it can't be in two pools or in none at any
 * offset.
 */
public final class HostTable implements FoldPart<HostTable.Snapshot>, PoolOccupancy {
  private final TreeMap<String, Host> hosts = new TreeMap<>();
  private final Predicate<String> poolExists;

  /** The whole table. */
  public record Snapshot(List<Host> hosts) {
    public Snapshot {
      hosts = List.copyOf(hosts);
    }
  }

  /** Creates an empty table; {@code poolExists} tells whether a pool is defined. */
  public HostTable(Predicate<String> poolExists) {
    this.poolExists = poolExists;
  }

  @Override
  public void registerHandlers(ProposalRegistry registry) {
    registry.register(HostAdmitted.class, this::admit);
  }

  private Either<Failure, String> admit(HostAdmitted admitted, Position position) {
    HostFacts facts = admitted.facts();
    Host known = hosts.get(facts.name());
    if (known != null) {
      if (known.facts().equals(facts)) {
        return Either.left(
            Failure.of(ResultCode.ALREADY_APPLIED, facts.name() + " in pool " + known.pool()));
      }
      hosts.put(
          facts.name(),
          new Host(facts, known.pool(), known.state(), known.stateOffset(), known.stateMillis()));
      return Either.right("facts of " + facts.name() + " updated");
    }
    if (!poolExists.test(facts.homePool())) {
      return Either.left(Failure.of(ResultCode.POOL_UNKNOWN, facts.homePool()));
    }
    hosts.put(
        facts.name(),
        new Host(
            facts,
            facts.homePool(),
            HostState.AVAILABLE,
            position.offset(),
            position.timeMillis()));
    return Either.right(facts.name() + " joined pool " + facts.homePool());
  }

  /** Returns the host with this name. */
  public Optional<Host> find(String name) {
    return Optional.ofNullable(hosts.get(name));
  }

  /** Returns all hosts, sorted by name; a view. */
  public Collection<Host> all() {
    return Collections.unmodifiableCollection(hosts.values());
  }

  /** Returns the hosts of a pool in any state, sorted by name. */
  public List<Host> inPool(String pool) {
    return hosts.values().stream().filter(host -> host.pool().equals(pool)).toList();
  }

  @Override
  public int hostCount(String pool) {
    return inPool(pool).size();
  }

  @Override
  public Snapshot snapshot() {
    return new Snapshot(List.copyOf(hosts.values()));
  }

  @Override
  public void restore(Snapshot snapshot) {
    hosts.clear();
    snapshot.hosts().forEach(host -> hosts.put(host.name(), host));
  }
}
