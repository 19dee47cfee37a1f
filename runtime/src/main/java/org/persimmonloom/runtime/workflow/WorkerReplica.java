package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.WorkerFacts;

/**
 * Replica of the worker table. The newest entry of a key decides, so that one that cannot be read
 * names no worker. The observer receives the list of each load and each change while they are
 * applied, so before the follower counts the read. Safe for any thread; the observer is called
 * under the lock.
 */
public final class WorkerReplica implements TableFollower.Listener {
  private static final Logger LOG = LogManager.getLogger(WorkerReplica.class);

  private final PlatformDecoder decoder;
  private final Consumer<Collection<WorkerFacts>> observer;
  private Contents contents = new Contents();

  /** What the newest entries of the table add up to. */
  private static final class Contents {
    final Map<String, WorkerFacts> workers = new HashMap<>();

    /** Keys whose newest entry cannot be read; logged once each. */
    final Set<String> unreadable = new HashSet<>();
  }

  public WorkerReplica(PlatformDecoder decoder, Consumer<Collection<WorkerFacts>> observer) {
    this.decoder = decoder;
    this.observer = observer;
  }

  @Override
  public synchronized void apply(StoredRecord stored) {
    if (applyTo(contents, stored)) {
      publish();
    }
  }

  /** Applies an entry and returns whether that changes the list. */
  private boolean applyTo(Contents target, StoredRecord stored) {
    String key = stored.record().key();
    Optional<WorkerFacts> facts = decoder.worker(stored.record());
    boolean isUnreadable = facts.isEmpty() && stored.record().value() != null;
    if (isUnreadable && target.unreadable.add(key)) {
      LOG.info("event=worker_entry_unreadable worker={} offset={}", key, stored.offset());
    } else if (!isUnreadable) {
      target.unreadable.remove(key);
    }
    WorkerFacts previous =
        facts.isPresent() ? target.workers.put(key, facts.get()) : target.workers.remove(key);
    return !Objects.equals(previous, target.workers.get(key));
  }

  @Override
  public TableFollower.Load beginLoad() {
    Contents loaded = new Contents();
    return TableFollower.Load.of(stored -> applyTo(loaded, stored), () -> replaceContents(loaded));
  }

  private synchronized void replaceContents(Contents loaded) {
    contents = loaded;
    publish();
  }

  private void publish() {
    observer.accept(new ArrayList<>(contents.workers.values()));
  }
}
