package org.persimmonloom.runtime.log;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FoldVersion;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHost;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Groups proposals into batches and appends one batch at a time.
 *
 * <p>A batch is appended with the same sequence until this process's own fold shows it, because the
 * answer of an append may be lost after it took effect; the fold drops the copies. When the fold
 * ends this incarnation, everything that is pending fails as certainly not folded: the fold admits
 * no later batch of an ended incarnation, and what it admitted before has completed before. The
 * next batch then registers a new incarnation. Safe for any thread.
 */
@Singleton
public final class GroupCommitter implements Proposer, FoldListener {
  /** Appends a second that the whole fleet may use; the log takes several hundred. */
  public static final int FLEET_APPENDS_PER_SECOND = 240;

  private static final Logger LOGGER = LogManager.getLogger(GroupCommitter.class);

  /** How long an acknowledged append may take to be folded here before it is appended again. */
  private static final long FOLD_WAIT_MILLIS = 2_000;

  private static final long MAX_WAIT_MILLIS = 50;
  private static final long LEAVE_MILLIS = 2_000;

  private final PlatformLog log;
  private final ReplicatedState state;
  private final EntrySettings settings;
  private final InstantSource clock;
  private final LogStatus status;
  private final LogMetrics metrics;
  private final LongSupplier steadyMillis;
  private final Thread thread = new Thread(this::run, "group-committer");
  private final Object lock = new Object();
  private final ProposalQueue queue = new ProposalQueue();
  private final AppendPacer pacer = new AppendPacer(ThreadLocalRandom.current());
  private InFlightBatch inFlight;
  private long incarnation;
  private long sequence;
  private long appendAtMillis;
  private long renewAtMillis;
  private boolean isLeaving;
  private volatile boolean stopped;
  private boolean isHealthy = true;

  @Inject
  public GroupCommitter(
      PlatformLog log,
      ReplicatedState state,
      EntrySettings settings,
      InstantSource clock,
      LogStatus status,
      LogMetrics metrics) {
    this(log, state, settings, clock, status, metrics, () -> System.nanoTime() / 1_000_000);
  }

  /** Creates a committer whose pace and renewals follow the given steady clock. */
  GroupCommitter(
      PlatformLog log,
      ReplicatedState state,
      EntrySettings settings,
      InstantSource clock,
      LogStatus status,
      LogMetrics metrics,
      LongSupplier steadyMillis) {
    this.steadyMillis = steadyMillis;
    this.log = log;
    this.state = state;
    this.settings = settings;
    this.clock = clock;
    this.status = status;
    this.metrics = metrics;
    this.incarnation = incarnationFromClock();
    thread.setDaemon(true);
    state.addListener(this);
  }

  /** Starts appending; the first batch, after the log was read to its end, registers this host. */
  public void start() {
    thread.start();
  }

  /**
   * Stops appending. What was proposed before is appended, then {@link EntryHostLeft} as the last
   * record, if the log takes them within {@value #LEAVE_MILLIS} ms.
   */
  public void stop() throws InterruptedException {
    CompletableFuture<List<ProposalResult>> left = new CompletableFuture<>();
    synchronized (lock) {
      if (thread.isAlive() && sequence > 0 && !isLeaving) {
        queue.add(new ProposalQueue.Entry(List.of(new EntryHostLeft()), 0, left));
      } else {
        left.complete(List.of());
      }
      isLeaving = true;
      lock.notifyAll();
    }
    try {
      left.get(LEAVE_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      LOGGER.warn("stopping without a record of it: {}", String.valueOf(e.getMessage()));
    }
    stopped = true;
    thread.interrupt();
    if (thread.isAlive()) {
      thread.join();
    }
    failRest();
  }

  private void failRest() {
    List<ProposalQueue.Entry> queued;
    List<ProposalQueue.Entry> appended;
    synchronized (lock) {
      queued = queue.takeAll();
      appended = inFlight == null ? List.of() : inFlight.entries();
      inFlight = null;
    }
    fail(queued, () -> new ProposalException(Failure.of(ResultCode.STOPPING)));
    fail(appended, () -> new UndecidedProposalException("stopped before the batch was folded"));
  }

  /** Returns the incarnation under which this process proposes. */
  public long incarnation() {
    synchronized (lock) {
      return incarnation;
    }
  }

  @Override
  public CompletableFuture<List<ProposalResult>> propose(List<? extends Proposal> proposals) {
    Either<Failure, ProposalQueue.Entry> entry = ProposalQueue.entry(proposals);
    if (entry.isLeft()) {
      return CompletableFuture.failedFuture(new ProposalException(entry.getLeft()));
    }
    Optional<Failure> refusal;
    synchronized (lock) {
      refusal = isLeaving ? Optional.of(Failure.of(ResultCode.STOPPING)) : queue.add(entry.get());
      metrics.queuedProposals.set(queue.proposals());
      lock.notifyAll();
    }
    return refusal.isPresent()
        ? CompletableFuture.failedFuture(new ProposalException(refusal.get()))
        : entry.get().future();
  }

  private void run() {
    while (!stopped) {
      try {
        InFlightBatch due = awaitDue();
        if (due != null) {
          append(due);
          isHealthy = true;
        }
      } catch (InterruptedException e) {
        // Only stop() interrupts this thread, after it set the flag that ends the loop.
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException e) {
        noteError(e);
      }
    }
  }

  private void noteError(RuntimeException e) {
    metrics.errors.inc();
    if (isHealthy) {
      LOGGER.error("error in the cycle of the committer; it goes on", e);
    }
    isHealthy = false;
    synchronized (lock) {
      pacer.failed(steadyMillis.getAsLong());
      appendAtMillis = pacer.nextMillis();
    }
  }

  /** Returns the batch to append now, or null after a short wait for one. */
  private InFlightBatch awaitDue() throws InterruptedException {
    long paceMillis = paceMillis();
    synchronized (lock) {
      long nowMillis = steadyMillis.getAsLong();
      if (inFlight == null && nowMillis >= pacer.nextMillis()) {
        inFlight = nextBatch(nowMillis);
        appendAtMillis = nowMillis;
      }
      long atMillis = inFlight == null ? pacer.nextMillis() : appendAtMillis;
      if (inFlight != null && nowMillis >= atMillis) {
        pacer.started(nowMillis, paceMillis);
        InFlightBatch due = inFlight;
        inFlight = due.repeated();
        return due;
      }
      long waitMillis = atMillis > nowMillis ? atMillis - nowMillis : MAX_WAIT_MILLIS;
      lock.wait(Math.min(MAX_WAIT_MILLIS, waitMillis));
      return null;
    }
  }

  private long paceMillis() {
    int members = Math.max(1, state.read(fleet -> fleet.entryHosts().live().size()));
    return Math.max(1, members * 1_000L / FLEET_APPENDS_PER_SECOND);
  }

  private void append(InFlightBatch due) {
    if (due.isRepeated()) {
      metrics.repeatedAppends.inc();
    }
    boolean isAcknowledged = false;
    try {
      log.append(due.bytes());
      isAcknowledged = true;
    } catch (IOException e) {
      metrics.failedAppends.inc();
    }
    synchronized (lock) {
      long nowMillis = steadyMillis.getAsLong();
      if (isAcknowledged) {
        pacer.succeeded(nowMillis);
        appendAtMillis = nowMillis + FOLD_WAIT_MILLIS;
      } else {
        pacer.failed(nowMillis);
        appendAtMillis = pacer.nextMillis();
      }
      metrics.appendSeconds.observe(pacer.lastMillis() / 1_000.0);
    }
  }

  private InFlightBatch nextBatch(long nowMillis) {
    if (sequence == 0 && !mayRegister()) {
      return null;
    }
    List<Proposal> proposals = new ArrayList<>();
    if (sequence == 0 || (nowMillis >= renewAtMillis && !isLeaving)) {
      proposals.add(Registrations.of(settings));
      renewAtMillis = nowMillis + EntryHostTable.RENEW_EVERY_MILLIS;
    }
    List<ProposalQueue.Entry> entries = queue.takeBatch(proposals.size());
    entries.forEach(entry -> proposals.addAll(entry.proposals()));
    metrics.queuedProposals.set(queue.proposals());
    if (proposals.isEmpty()) {
      return null;
    }
    sequence++;
    Batch batch =
        new Batch(
            settings.name(), incarnation, sequence, FoldVersion.CURRENT, clock.millis(), proposals);
    byte[] bytes = ProposalTypes.CODEC.encode(batch);
    metrics.batchProposals.observe(proposals.size());
    metrics.batchBytes.observe(bytes.length);
    return new InFlightBatch(batch, bytes, entries, false);
  }

  /**
   * Returns whether the first batch may be made. It waits for the end of the log, since a verdict
   * can't be seen before, and it must carry a higher incarnation than any earlier run.
   */
  private boolean mayRegister() {
    if (isLeaving || status.readMillis().isEmpty()) {
      return false;
    }
    incarnation = Math.max(incarnation, knownIncarnation() + 1);
    return true;
  }

  private long knownIncarnation() {
    return state
        .read(fleet -> fleet.entryHosts().find(settings.name()))
        .map(EntryHost::incarnation)
        .orElse(0L);
  }

  private long incarnationFromClock() {
    return clock.millis() * 1_024 + ThreadLocalRandom.current().nextInt(1_024);
  }

  @Override
  public void folded(long offset, Batch batch, List<ProposalResult> verdicts) {
    InFlightBatch done = null;
    synchronized (lock) {
      if (inFlight != null && inFlight.isFor(batch)) {
        done = inFlight;
        if (!verdicts.isEmpty()) {
          inFlight = null;
          lock.notifyAll();
        }
      }
    }
    if (done != null && !verdicts.isEmpty()) {
      done.complete(verdicts);
    }
    boolean isRefused = done != null && verdicts.isEmpty();
    if (isRefused || endsOwnIncarnation(batch, verdicts)) {
      takeNewIncarnation(
          () ->
              new ProposalException(
                  Failure.of(ResultCode.STALE_INCARNATION, batch.incarnation(), settings.name())));
    }
  }

  private boolean endsOwnIncarnation(Batch batch, List<ProposalResult> verdicts) {
    long own;
    synchronized (lock) {
      if (sequence == 0) {
        return false;
      }
      own = incarnation;
    }
    boolean isReplaced =
        !verdicts.isEmpty() && batch.author().equals(settings.name()) && batch.incarnation() > own;
    return isReplaced
        || verdicts.stream()
            .anyMatch(
                verdict ->
                    verdict.isAccepted()
                        && verdict.proposal().equals(new EntryHostLost(settings.name(), own)));
  }

  /**
   * Records were skipped, among them perhaps the verdicts on what is in flight. A new incarnation
   * gives the claims of this one a definite end.
   */
  @Override
  public void restored() {
    List<ProposalQueue.Entry> appended;
    synchronized (lock) {
      if (sequence == 0) {
        return;
      }
      appended = inFlight == null ? List.of() : inFlight.entries();
      inFlight = null;
    }
    fail(appended, () -> new UndecidedProposalException("the records of the verdict expired"));
    takeNewIncarnation(
        () ->
            new ProposalException(
                Failure.of(ResultCode.STALE_INCARNATION, "before a gap", settings.name())));
  }

  private void takeNewIncarnation(Supplier<Exception> reason) {
    List<ProposalQueue.Entry> pending = new ArrayList<>();
    synchronized (lock) {
      if (inFlight != null) {
        pending.addAll(inFlight.entries());
      }
      pending.addAll(queue.takeAll());
      inFlight = null;
      incarnation = Math.max(incarnation + 1, incarnationFromClock());
      sequence = 0;
      metrics.queuedProposals.set(0);
      lock.notifyAll();
    }
    metrics.newIncarnations.inc();
    LOGGER.warn("incarnation of {} is over; {} proposals fail", settings.name(), pending.size());
    fail(pending, reason);
  }

  private static void fail(List<ProposalQueue.Entry> entries, Supplier<Exception> reason) {
    entries.forEach(entry -> entry.future().completeExceptionally(reason.get()));
  }
}
