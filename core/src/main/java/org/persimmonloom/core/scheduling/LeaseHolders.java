package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * The workers that may hold leases, as recorded in the log.
 *
 * <p>An entry in the published list is only a means of discovery: it may lapse while its worker
 * runs on, and come back later. An owner therefore records a worker before it gives it the first
 * order, and removes the record once nothing can run there. From the records a new owner knows
 * which workers may run tasks of earlier owners, and where to reach them.
 *
 * <p>Invariant: a worker counts as recorded only while its record is durable and no removal of it
 * has been taken. Not thread-safe.
 */
final class LeaseHolders {
  private final LeaseHolderRecords records = new LeaseHolderRecords();

  /** Workers that should be recorded, by identifier. */
  private final Map<String, WorkerFacts> wanted = new HashMap<>();

  /** Workers whose record is durable. */
  private final Map<String, WorkerFacts> durable = new HashMap<>();

  /** Workers whose record may differ from what is wanted. */
  private final Set<String> changed = new LinkedHashSet<>();

  /** Adds the workers that earlier owners recorded. */
  void load(Collection<WorkerFacts> recorded) {
    for (WorkerFacts facts : recorded) {
      wanted.put(facts.id(), facts);
      durable.put(facts.id(), facts);
    }
  }

  /** Lets a worker be recorded, unless it is recorded under the same address. */
  void add(WorkerFacts facts) {
    WorkerFacts known = wanted.get(facts.id());
    if (known == null || !isSameHolder(known, facts)) {
      wanted.put(facts.id(), facts);
      changed.add(facts.id());
    }
  }

  /** Lets the record of a worker on which nothing can run be removed. */
  void remove(String id) {
    if (wanted.remove(id) != null) {
      changed.add(id);
    }
  }

  /** Lets the records of all other workers be removed. */
  void retain(Set<String> ids) {
    for (String id : List.copyOf(wanted.keySet())) {
      if (!ids.contains(id)) {
        remove(id);
      }
    }
  }

  /** Returns whether the worker is recorded durably under its present address. */
  boolean isRecorded(WorkerFacts facts) {
    WorkerFacts known = durable.get(facts.id());
    return known != null && isSameHolder(known, facts) && wanted.containsKey(facts.id());
  }

  /** Compares what a new owner needs in order to find the worker; see {@link WorkerTable}. */
  private static boolean isSameHolder(WorkerFacts recorded, WorkerFacts facts) {
    return recorded.address().equals(facts.address()) && recorded.service().equals(facts.service());
  }

  /** Returns the unrecorded changes and marks them as taken; each is returned only once. */
  LeaseHolderBatch take() {
    List<WorkerFacts> added = new ArrayList<>();
    List<TableRecord> taken = new ArrayList<>();
    for (String id : changed) {
      WorkerFacts facts = wanted.get(id);
      if (facts == null) {
        durable.remove(id);
        taken.add(records.removal(id));
      } else {
        added.add(facts);
        taken.add(records.record(facts));
      }
    }
    changed.clear();
    return new LeaseHolderBatch(taken, added);
  }

  /** Notes that records can't be stored, so that their workers are not recorded. */
  void rejected(Set<String> keys) {
    durable.keySet().removeIf(id -> keys.contains(LeaseHolderRecords.key(id)));
  }

  /** Marks the records of a batch as durable; batches are recorded one at a time. */
  void recorded(LeaseHolderBatch batch) {
    batch.added().forEach(facts -> durable.put(facts.id(), facts));
  }
}
