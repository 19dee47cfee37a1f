package org.persimmonloom.core.scheduling.steps;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.persimmonloom.core.scheduling.LeaseHolderRecords;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * An entry host: its threads, which all stand still together, its calls to the store, its replica
 * of the workflow table, and its part in the election. After a pause its threads go on in any
 * order. Not thread-safe.
 */
final class StepModelHost {
  private static final long FOLLOWER_PAUSE_MILLIS = 60;
  private static final long OWNER_PAUSE_MILLIS = 15;
  private static final long RETRY_MILLIS = 100;
  private static final long READ_LIMIT_MILLIS = 1_000;
  private static final int MAX_WAKE_MILLIS = 40;

  final int number;
  private final StepModel model;
  private final Map<Lane, Long> readyMillis = new EnumMap<>(Lane.class);
  private final WorkflowRecords records = new WorkflowRecords();
  private final LeaseHolderRecords holderRecords = new LeaseHolderRecords();
  private long frozenUntil;
  private int life;
  private Contents contents = new Contents();
  private long nextOffset;
  private boolean isLoaded;
  boolean mustReload;
  StepModelElection election;

  /** Threads of the process. */
  enum Lane {
    LOOP,
    OWNERSHIP,
    FOLLOWER,
    WRITER,
    CALLS
  }

  private static final class Contents {
    final WorkflowTable table = new WorkflowTable();
    final Map<String, WorkerFacts> leaseHolders = new HashMap<>();
    long takeoverFence;
  }

  StepModelHost(StepModel model, int number) {
    this.model = model;
    this.number = number;
    start();
  }

  private void start() {
    election = new StepModelElection(model, this, life);
    run(Lane.FOLLOWER, 1, this::follow);
    election.start();
  }

  void restart() {
    model.trace("host %d restarts", number);
    life++;
    contents = new Contents();
    isLoaded = false;
    nextOffset = 0;
    frozenUntil = model.now() + 500;
    readyMillis.clear();
    start();
  }

  void freeze(long millis) {
    model.trace("host %d stands still for %d", number, millis);
    frozenUntil = Math.max(frozenUntil, model.now() + millis);
    for (Lane lane : Lane.values()) {
      readyMillis.put(lane, frozenUntil + model.noise(MAX_WAKE_MILLIS, "wake " + number + lane));
    }
  }

  boolean isFrozen() {
    return model.now() < frozenUntil;
  }

  /** Runs an action on a thread after a delay, or later if the process stands still then. */
  void run(Lane lane, long delayMillis, Runnable action) {
    runIn(life, lane, delayMillis, action);
  }

  /** Runs an action as above, unless the process has been restarted since its given life. */
  void runIn(int wanted, Lane lane, long delayMillis, Runnable action) {
    model.at(model.now() + delayMillis, () -> fire(lane, wanted, action));
  }

  /** Returns how often the process was restarted; answers belong to the life of their calls. */
  int life() {
    return life;
  }

  private void fire(Lane lane, int wanted, Runnable action) {
    if (wanted != life) {
      return;
    }
    long ready = Math.max(frozenUntil, readyMillis.getOrDefault(lane, 0L));
    if (model.now() < ready) {
      model.at(ready, () -> fire(lane, wanted, action));
    } else {
      action.run();
    }
  }

  /**
   * Calls the store; the answer is null if none was read within the limit. A request that is not
   * written within the limit is not sent.
   */
  <T> void callStore(Lane lane, long limitMillis, Supplier<T> operation, Consumer<T> answer) {
    callStoreFrom(number, lane, limitMillis, operation, answer);
  }

  /** Calls the store through another host. */
  <T> void callStoreFrom(
      int from, Lane lane, long limitMillis, Supplier<T> operation, Consumer<T> answer) {
    long sent = model.now();
    boolean[] isOver = {false};
    int caller = life;
    Consumer<T> finish =
        result ->
            runIn(
                caller,
                lane,
                0,
                () -> {
                  if (!isOver[0]) {
                    isOver[0] = true;
                    answer.accept(model.now() - sent > limitMillis ? null : result);
                  }
                });
    run(
        Lane.CALLS,
        model.noise(2, "write " + number),
        () -> {
          if (model.now() - sent <= limitMillis) {
            model.storeCall(from, operation, finish);
          }
        });
    run(Lane.CALLS, limitMillis + 1, () -> finish.accept(null));
  }

  private void follow() {
    boolean isLoad = !isLoaded || mustReload;
    if (!isLoad && model.store().end() == nextOffset) {
      // A long poll that does not return yet.
      run(
          Lane.FOLLOWER,
          election.isOwner() ? OWNER_PAUSE_MILLIS : FOLLOWER_PAUSE_MILLIS,
          this::follow);
      return;
    }
    Function<StepModelStore, StepModelStore.Read> operation =
        isLoad ? StepModelStore::newest : store -> store.read(nextOffset);
    callStore(
        Lane.FOLLOWER,
        READ_LIMIT_MILLIS,
        () -> operation.apply(model.store()),
        read -> {
          if (read != null && isLoad) {
            load(read);
          } else if (read != null) {
            applyRead(read);
          }
          long pause = election.isOwner() ? OWNER_PAUSE_MILLIS : FOLLOWER_PAUSE_MILLIS;
          run(Lane.FOLLOWER, read == null ? RETRY_MILLIS : pause, this::follow);
        });
  }

  private void load(StepModelStore.Read read) {
    mustReload = false;
    if (read.end() < nextOffset) {
      return;
    }
    Contents replaced = contents;
    Contents loaded = new Contents();
    read.records().forEach(stored -> applyTo(loaded, stored));
    contents = loaded;
    nextOffset = read.end();
    isLoaded = true;
    StepModelSession observer = election.observer();
    if (observer == null) {
      return;
    }
    if (loaded.takeoverFence > replaced.takeoverFence) {
      observer.takeoverRead(loaded.takeoverFence);
    }
    submitted(loaded).forEach(entry -> observer.workflowChanged(entry, true));
    submitted(replaced).stream()
        .map(entry -> loaded.table.find(entry.id()).orElseGet(() -> new WorkflowEntry(entry.id())))
        .filter(entry -> entry.spec().isEmpty())
        .forEach(entry -> observer.workflowChanged(entry, true));
  }

  /** Applies records up to the end that the store had when it read them. */
  void applyRead(StepModelStore.Read read) {
    for (StepModelStore.Stored stored : read.records()) {
      if (stored.offset() < nextOffset) {
        continue;
      }
      nextOffset = stored.offset() + 1;
      long earlierFence = contents.takeoverFence;
      WorkflowEntry changed = applyTo(contents, stored);
      StepModelSession observer = election.observer();
      if (observer != null && contents.takeoverFence > earlierFence) {
        observer.takeoverRead(contents.takeoverFence);
      }
      if (observer != null && changed != null && !records.isProgress(stored.record())) {
        observer.workflowChanged(changed, false);
      }
    }
  }

  private WorkflowEntry applyTo(Contents target, StepModelStore.Stored stored) {
    TableRecord record = stored.record();
    OptionalLong takeover = records.takeoverFence(record);
    if (takeover.isPresent()) {
      target.takeoverFence = Math.max(target.takeoverFence, takeover.getAsLong());
      return null;
    }
    if (holderRecords.worker(record).isPresent()) {
      String worker = holderRecords.worker(record).get();
      if (record.value() == null) {
        target.leaseHolders.remove(worker);
      } else {
        target.leaseHolders.put(worker, holderRecords.read(record.value()).get());
      }
      return null;
    }
    return target.table.apply(record, stored.offset()).orElse(null);
  }

  private static List<WorkflowEntry> submitted(Contents contents) {
    return contents.table.all().stream()
        .filter(entry -> entry.spec().isPresent())
        .sorted(java.util.Comparator.comparing(WorkflowEntry::id))
        .toList();
  }

  boolean isLoaded() {
    return isLoaded;
  }

  long nextOffset() {
    return nextOffset;
  }

  List<WorkerFacts> leaseHolders() {
    return List.copyOf(contents.leaseHolders.values());
  }

  /** Passes the newest takeover and all workflows to a new observer. */
  void passAll(StepModelSession observer) {
    if (contents.takeoverFence > 0) {
      observer.takeoverRead(contents.takeoverFence);
    }
    submitted(contents).forEach(entry -> observer.workflowChanged(entry, true));
  }
}
