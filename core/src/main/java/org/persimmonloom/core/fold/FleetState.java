package org.persimmonloom.core.fold;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.claim.ClaimTable;
import org.persimmonloom.core.explain.DecisionJournal;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostLifecycle;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.job.JobEnvironment;
import org.persimmonloom.core.job.JobTable;
import org.persimmonloom.core.job.QuarantineBudget;
import org.persimmonloom.core.job.WorkerRecord;
import org.persimmonloom.core.maintenance.AvailabilityBudgets;
import org.persimmonloom.core.maintenance.DrainHandlers;
import org.persimmonloom.core.maintenance.MaintenanceSteps;
import org.persimmonloom.core.maintenance.MoveHandlers;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.maintenance.WaveTable;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.release.PoolDefinition;
import org.persimmonloom.core.release.ReleaseCatalog;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.release.TeamDefinition;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The replicated state: a deterministic fold over the platform log.
 *
 * <p>Every entry host applies the same batches in the order of their offsets and decides each
 * proposal at its position in the log, so all of them reach the same state without a leader.
 * Nothing here reads a clock, a random number or an unordered collection. Confined to the thread
 * that folds; readers hold the lock of the surrounding replica.
 */
public final class FleetState {
  private final ProposalRegistry registry = new ProposalRegistry();
  private final EntryHostTable entryHosts = new EntryHostTable();
  private final ClaimTable claims = new ClaimTable();
  private final DecisionJournal journal = new DecisionJournal();
  private final HostTable hosts;
  private final ReleaseCatalog releases;
  private final JobTable jobs = new JobTable(new FleetJobEnvironment());
  private final AvailabilityBudgets budgets;
  private final WaveTable waves;
  private final List<ReplicatedTable<?>> tables;
  private long nextOffset;
  private long timeMillis;

  /** Creates the initial state, before the first record of the log. */
  public FleetState() {
    hosts = new HostTable(this::pool);
    releases = new ReleaseCatalog(hosts);
    budgets = new AvailabilityBudgets(releases::budgets, hosts, this::isQuarantined);
    waves = new WaveTable(hosts, budgets, journal);
    hosts.addListener(waves);
    entryHosts.addListener(claims);
    tables = List.of(entryHosts, releases, claims, hosts, jobs, waves, journal);
    tables.forEach(table -> table.registerHandlers(registry));
    registerHostHandlers();
    registry.register(
        SnapshotChunk.class, (chunk, position) -> Either.right("snapshot chunk " + chunk.index()));
  }

  private void registerHostHandlers() {
    new HostLifecycle(hosts, journal).registerHandlers(registry);
    new MoveHandlers(hosts, waves, budgets).registerHandlers(registry);
    DrainHandlers drains = new DrainHandlers(hosts, entryHosts, waves, budgets, journal);
    drains.registerHandlers(registry);
    entryHosts.addListener(drains);
  }

  private boolean isQuarantined(String worker) {
    return jobs.worker(worker).filter(WorkerRecord::isQuarantined).isPresent();
  }

  private Optional<PoolDefinition> pool(String name) {
    return releases.pool(name);
  }

  /**
   * Folds the batch at {@code offset} and returns one result for each proposal, or an empty list if
   * the batch was dropped as repeated or stale.
   *
   * @return the results, or {@link ResultCode#FOLD_VERSION_UNSUPPORTED} if the batch needs a later
   *     version of the program; the state is then unchanged and the caller must stop folding
   * @throws IllegalArgumentException if {@code offset} is not {@link #nextOffset}
   */
  public Either<Failure, List<ProposalResult>> apply(long offset, Batch batch) {
    if (offset != nextOffset) {
      throw new IllegalArgumentException("record offset " + offset + ", expected " + nextOffset);
    }
    if (batch.foldVersion() > FoldVersion.CURRENT) {
      return Either.left(
          Failure.of(
              ResultCode.FOLD_VERSION_UNSUPPORTED, batch.foldVersion(), FoldVersion.CURRENT));
    }
    nextOffset = offset + 1;
    long batchTimeMillis = nextTimeMillis(batch);
    Position start = position(offset, 0, batchTimeMillis, batch);
    if (entryHosts.admit(batch, start).isPresent()) {
      return Either.right(List.of());
    }
    timeMillis = batchTimeMillis;
    tables.forEach(table -> table.advance(timeMillis));
    List<ProposalResult> results = new ArrayList<>(batch.proposals().size());
    for (int index = 0; index < batch.proposals().size(); index++) {
      Position position = position(offset, index, timeMillis, batch);
      ProposalResult result = decide(batch.proposals().get(index), position);
      journal.recordResult(result);
      results.add(result);
    }
    waves.evaluate(position(offset, batch.proposals().size(), timeMillis, batch));
    return Either.right(results);
  }

  /**
   * Skips a record that can't be decoded. All entry hosts read the same bytes, so all of them skip
   * it.
   *
   * @throws IllegalArgumentException if {@code offset} is not {@link #nextOffset}
   */
  public void skip(long offset) {
    if (offset != nextOffset) {
      throw new IllegalArgumentException("record offset " + offset + ", expected " + nextOffset);
    }
    nextOffset = offset + 1;
  }

  private long nextTimeMillis(Batch batch) {
    return Math.max(
        timeMillis, Math.min(batch.timeMillis(), entryHosts.clockLimit(batch.author())));
  }

  private static Position position(long offset, int index, long timeMillis, Batch batch) {
    return new Position(
        offset, index, timeMillis, batch.author(), batch.incarnation(), batch.sequence());
  }

  private ProposalResult decide(Proposal proposal, Position position) {
    Either<Failure, String> result = registry.decide(proposal, position);
    return result.fold(
        failure -> new ProposalResult(position, proposal, failure.code(), failure.detail()),
        explanation -> new ProposalResult(position, proposal, ResultCode.OK, explanation));
  }

  /** Returns the first offset that is not folded yet. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns fold time in milliseconds since the epoch; 0 before the first batch. */
  public long timeMillis() {
    return timeMillis;
  }

  public EntryHostTable entryHosts() {
    return entryHosts;
  }

  public ReleaseCatalog releases() {
    return releases;
  }

  public ClaimTable claims() {
    return claims;
  }

  public HostTable hosts() {
    return hosts;
  }

  public JobTable jobs() {
    return jobs;
  }

  /** Gives the job table read access to the other tables. */
  private final class FleetJobEnvironment implements JobEnvironment {
    @Override
    public Optional<Host> host(String name) {
      return hosts.find(name);
    }

    @Override
    public int hostCount(String pool) {
      return hosts.hostCount(pool);
    }

    @Override
    public Optional<TeamDefinition> team(String name) {
      return Optional.ofNullable(releases.teams().get(name));
    }

    @Override
    public Optional<ServiceDefinition> service(String name) {
      return releases.service(name);
    }

    @Override
    public Optional<Failure> quarantineRefusal(String worker) {
      return hosts
          .find(worker)
          .flatMap(
              host ->
                  QuarantineBudget.refusal(
                      host,
                      hosts.all(),
                      releases.budgets().values(),
                      FleetState.this::isQuarantined));
    }
  }

  public WaveTable waves() {
    return waves;
  }

  public AvailabilityBudgets budgets() {
    return budgets;
  }

  public DecisionJournal journal() {
    return journal;
  }

  /** Returns the calculation of the due steps of waves and moves; it reads this state. */
  public MaintenanceSteps maintenanceSteps() {
    return new MaintenanceSteps(hosts, waves, budgets);
  }

  /** Returns the state of a pool for planners and operators. */
  public Optional<PoolStatus> poolStatus(String pool) {
    return releases.pool(pool).map(definition -> PoolStatus.of(definition, hosts, budgets));
  }

  /** Returns the state of every pool, sorted by name. */
  public List<PoolStatus> poolStatuses() {
    return releases.pools().values().stream()
        .map(definition -> PoolStatus.of(definition, hosts, budgets))
        .toList();
  }

  /** Returns a snapshot of the whole state. */
  public FleetSnapshot snapshot() {
    return new FleetSnapshot(
        FoldVersion.CURRENT,
        nextOffset,
        timeMillis,
        entryHosts.snapshot(),
        releases.snapshot(),
        claims.snapshot(),
        hosts.snapshot(),
        jobs.snapshot(),
        waves.snapshot(),
        journal.snapshot());
  }

  /**
   * Replaces the state by that of the snapshot.
   *
   * @return {@link ResultCode#FOLD_VERSION_UNSUPPORTED} if the snapshot was made by later fold
   *     rules; the state is then unchanged
   */
  public Optional<Failure> restore(FleetSnapshot snapshot) {
    if (snapshot.foldVersion() > FoldVersion.CURRENT) {
      return Optional.of(
          Failure.of(
              ResultCode.FOLD_VERSION_UNSUPPORTED, snapshot.foldVersion(), FoldVersion.CURRENT));
    }
    nextOffset = snapshot.nextOffset();
    timeMillis = snapshot.timeMillis();
    entryHosts.restore(snapshot.entryHosts());
    releases.restore(snapshot.releases());
    claims.restore(snapshot.claims());
    hosts.restore(snapshot.hosts());
    jobs.restore(snapshot.jobs());
    waves.restore(snapshot.waves());
    journal.restore(snapshot.journal());
    return Optional.empty();
  }
}
