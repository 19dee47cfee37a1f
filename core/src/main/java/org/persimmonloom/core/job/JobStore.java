package org.persimmonloom.core.job;

import java.util.Collection;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The jobs and workers of the fold with the indices and sums that are derived from them.
 *
 * <p>The resources in use by worker and by team are updated only in {@link #put}, from the previous
 * and the next value of one job, so no path through the handlers can leak reserved resources.
 * Confined to the fold thread.
 */
final class JobStore {
  private final TreeMap<String, Job> jobs = new TreeMap<>();
  private final TreeMap<String, WorkerRecord> workers = new TreeMap<>();
  private final TreeMap<String, TreeMap<String, Job>> jobsByWorker = new TreeMap<>();
  private final TreeMap<String, JobSize> usedByWorker = new TreeMap<>();
  private final TreeMap<String, JobSize> usedByTeam = new TreeMap<>();
  private final TreeSet<String> queued = new TreeSet<>();
  private final TreeMap<Long, TreeSet<String>> endedByTime = new TreeMap<>();
  private int endedCount;

  Job find(String name) {
    return jobs.get(name);
  }

  void put(Job next) {
    Job previous = jobs.put(next.name(), next);
    if (previous != null) {
      removeDerived(previous);
    }
    if (next.live() != null) {
      addUsage(next, next.live().size());
      jobsByWorker
          .computeIfAbsent(next.live().worker(), unused -> new TreeMap<>())
          .put(next.name(), next);
    }
    if (next.state() == JobState.QUEUED) {
      queued.add(next.name());
    }
    if (next.state().isEnded()) {
      endedByTime.computeIfAbsent(next.sinceMillis(), unused -> new TreeSet<>()).add(next.name());
      endedCount++;
    }
  }

  private void removeDerived(Job previous) {
    queued.remove(previous.name());
    if (previous.live() == null) {
      return;
    }
    String worker = previous.live().worker();
    addUsage(previous, JobSize.NONE.minus(previous.live().size()));
    TreeMap<String, Job> live = jobsByWorker.get(worker);
    live.remove(previous.name());
    if (live.isEmpty()) {
      jobsByWorker.remove(worker);
    }
  }

  private void addUsage(Job job, JobSize size) {
    add(usedByWorker, job.live().worker(), size);
    add(usedByTeam, job.spec().team(), size);
  }

  private static void add(TreeMap<String, JobSize> sums, String name, JobSize size) {
    JobSize sum = sums.getOrDefault(name, JobSize.NONE).plus(size);
    if (sum.equals(JobSize.NONE)) {
      sums.remove(name);
    } else {
      sums.put(name, sum);
    }
  }

  /** Discards the jobs that ended before the given fold time. */
  void discardEndedBefore(long millis) {
    var expired = endedByTime.headMap(millis);
    for (TreeSet<String> names : expired.values()) {
      names.forEach(jobs::remove);
      endedCount -= names.size();
    }
    expired.clear();
  }

  int openCount() {
    return jobs.size() - endedCount;
  }

  WorkerRecord worker(String name) {
    return workers.get(name);
  }

  void putWorker(WorkerRecord next) {
    workers.put(next.worker(), next);
  }

  JobSize usedByWorker(String worker) {
    return usedByWorker.getOrDefault(worker, JobSize.NONE);
  }

  JobSize usedByTeam(String team) {
    return usedByTeam.getOrDefault(team, JobSize.NONE);
  }

  /** Returns the jobs with a live attempt at the worker, sorted by name. */
  List<Job> liveAt(String worker) {
    TreeMap<String, Job> live = jobsByWorker.get(worker);
    return live == null ? List.of() : List.copyOf(live.values());
  }

  SortedSet<String> queued() {
    return queued;
  }

  Collection<Job> jobs() {
    return jobs.values();
  }

  Collection<WorkerRecord> workers() {
    return workers.values();
  }

  void clear() {
    jobs.clear();
    workers.clear();
    jobsByWorker.clear();
    usedByWorker.clear();
    usedByTeam.clear();
    queued.clear();
    endedByTime.clear();
    endedCount = 0;
  }
}
