package org.persimmonloom.runtime.log;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FoldVersion;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.fold.Verdict;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Groups proposals into batches and appends one batch at a time.
 *
 * <p>A batch is appended with the same sequence until this process's own fold shows it, because the
 * answer of an append may be lost after it took effect; the fold drops the copies. The pace keeps
 * the whole fleet below its share of the log's appends. Safe for any thread.
 */
@Singleton
public final class GroupCommitter implements Proposer, FoldListener {
  /** Appends a second that the whole fleet may use; the log takes several hundred. */
  public static final int FLEET_APPENDS_PER_SECOND = 240;

  static final int MAX_BATCH_PROPOSALS = 256;
  static final int MAX_BATCH_BYTES = 60 * 1024;
  private static final int MAX_QUEUED_PROPOSALS = 20_000;
  private static final long RETRY_MILLIS = 100;

  /** How long an acknowledged append may take to be folded here before it is appended again. */
  private static final long FOLD_WAIT_MILLIS = 2_000;

  private final PlatformLog log;
  private final ReplicatedState state;
  private final EntrySettings settings;
  private final InstantSource clock;
  private final ScheduledExecutorService executor =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "group-committer");
            thread.setDaemon(true);
            return thread;
          });
  private final Object lock = new Object();
  private final ArrayDeque<Entry> queue = new ArrayDeque<>();
  private int queuedProposals;
  private InFlight inFlight;
  private long incarnation;
  private long sequence;
  private volatile long appendAgainMillis;

  private record Entry(
      List<? extends Proposal> proposals, CompletableFuture<List<Verdict>> future) {}

  private record InFlight(Batch batch, byte[] bytes, List<Entry> entries) {}

  @Inject
  public GroupCommitter(
      PlatformLog log, ReplicatedState state, EntrySettings settings, InstantSource clock) {
    this.log = log;
    this.state = state;
    this.settings = settings;
    this.clock = clock;
    this.incarnation = newIncarnation();
    state.addListener(this);
  }

  /** Starts appending; the first batch registers this entry host. */
  public void start() {
    executor.execute(this::cycle);
  }

  /** Stops appending. What is still queued is not appended. */
  public void stop() {
    executor.shutdownNow();
  }

  /** Returns the incarnation under which this process proposes. */
  public long incarnation() {
    synchronized (lock) {
      return incarnation;
    }
  }

  @Override
  public CompletableFuture<List<Verdict>> propose(List<? extends Proposal> proposals) {
    CompletableFuture<List<Verdict>> future = new CompletableFuture<>();
    synchronized (lock) {
      if (queuedProposals + proposals.size() > MAX_QUEUED_PROPOSALS) {
        future.completeExceptionally(
            new ProposalException(
                Failure.of(ResultCode.LOG_UNAVAILABLE, "the queue of proposals is full")));
        return future;
      }
      queue.add(new Entry(List.copyOf(proposals), future));
      queuedProposals += proposals.size();
    }
    return future;
  }

  /** Appends what is due, then schedules itself again at the pace of the append budget. */
  private void cycle() {
    long delayMillis = paceMillis();
    InFlight due = takeDue();
    if (due != null && clock.millis() >= appendAgainMillis) {
      try {
        log.append(due.bytes());
        waitForFold(due);
      } catch (IOException e) {
        delayMillis = RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS);
      }
    }
    if (!executor.isShutdown()) {
      executor.schedule(this::cycle, delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  /** The fold may show the batch before the response to its append arrives. */
  private void waitForFold(InFlight appended) {
    synchronized (lock) {
      if (inFlight == appended) {
        appendAgainMillis = clock.millis() + FOLD_WAIT_MILLIS;
      }
    }
  }

  private long paceMillis() {
    int members = Math.max(1, state.read(fleet -> fleet.entryHosts().live().size()));
    return Math.max(1, members * 1_000L / FLEET_APPENDS_PER_SECOND);
  }

  private InFlight takeDue() {
    synchronized (lock) {
      if (inFlight == null) {
        inFlight = nextBatch();
      }
      return inFlight;
    }
  }

  private InFlight nextBatch() {
    List<Proposal> proposals = new ArrayList<>();
    List<Entry> entries = new ArrayList<>();
    if (sequence == 0) {
      proposals.add(registration());
    }
    while (!queue.isEmpty()
        && (entries.isEmpty()
            || proposals.size() + queue.peek().proposals().size() <= MAX_BATCH_PROPOSALS)) {
      Entry entry = queue.poll();
      queuedProposals -= entry.proposals().size();
      entries.add(entry);
      proposals.addAll(entry.proposals());
    }
    if (proposals.isEmpty()) {
      return null;
    }
    sequence++;
    Batch batch =
        new Batch(
            settings.name(), incarnation, sequence, FoldVersion.CURRENT, clock.millis(), proposals);
    return new InFlight(batch, ProposalTypes.CODEC.encode(batch), entries);
  }

  private EntryHostSeen registration() {
    return new EntryHostSeen(
        text(settings.peerAddress()), text(settings.operatorAddress()), settings.dataCentre());
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private long newIncarnation() {
    return clock.millis() * 1_024 + ThreadLocalRandom.current().nextInt(1_024);
  }

  @Override
  public void folded(long offset, Batch batch, List<Verdict> verdicts) {
    InFlight done;
    synchronized (lock) {
      boolean isMine =
          inFlight != null
              && batch.author().equals(settings.name())
              && batch.incarnation() == inFlight.batch().incarnation()
              && batch.sequence() == inFlight.batch().sequence();
      if (!isMine) {
        return;
      }
      done = inFlight;
      inFlight = null;
      appendAgainMillis = 0;
      if (verdicts.isEmpty()) {
        incarnation = newIncarnation();
        sequence = 0;
      }
    }
    complete(done, verdicts);
  }

  private void complete(InFlight done, List<Verdict> verdicts) {
    int at = done.batch().proposals().size();
    for (Entry entry : done.entries()) {
      at -= entry.proposals().size();
    }
    for (Entry entry : done.entries()) {
      if (verdicts.isEmpty()) {
        entry
            .future()
            .completeExceptionally(
                new ProposalException(
                    Failure.of(
                        ResultCode.STALE_INCARNATION,
                        done.batch().incarnation(),
                        settings.name())));
      } else {
        entry.future().complete(verdicts.subList(at, at + entry.proposals().size()));
      }
      at += entry.proposals().size();
    }
  }
}
