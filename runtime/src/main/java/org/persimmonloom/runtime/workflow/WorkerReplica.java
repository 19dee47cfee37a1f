package org.persimmonloom.runtime.workflow;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.persimmonloom.core.scheduling.WorkerFacts;

/** Replica of the worker table. Safe for any thread; the observer is called under the lock. */
public final class WorkerReplica implements TableFollower.Listener {
  private final PlatformDecoder decoder;
  private final Map<String, WorkerFacts> workers = new HashMap<>();
  private final Consumer<Collection<WorkerFacts>> observer;

  private boolean isPublished;

  public WorkerReplica(PlatformDecoder decoder, Consumer<Collection<WorkerFacts>> observer) {
    this.decoder = decoder;
    this.observer = observer;
  }

  @Override
  public synchronized void apply(StoredRecord stored, boolean isBacklog) {
    String key = stored.record().key();
    WorkerFacts previous =
        stored.record().value() == null
            ? workers.remove(key)
            : decoder.worker(stored.record()).map(facts -> workers.put(key, facts)).orElse(null);
    boolean isChanged = !Objects.equals(previous, workers.get(key));
    if (isChanged && !isBacklog) {
      publish();
    }
  }

  @Override
  public synchronized void reset() {
    isPublished = false;
    workers.clear();
  }

  /**
   * Passes the list to the observer once after the table is loaded; later changes are passed as
   * they are applied.
   */
  public synchronized void publishOnce(boolean isLoaded) {
    if (isLoaded && !isPublished) {
      publish();
    }
  }

  private void publish() {
    isPublished = true;
    observer.accept(new ArrayList<>(workers.values()));
  }
}
