package org.persimmonloom.runtime.worker;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.runtime.log.Proposer;

/**
 * Batches job proposals to limit the number of log appends.
 *
 * <p>The proposals of all worker visits within one tick are submitted in one call, or in several
 * when they exceed {@link #MAX_BATCH_PROPOSALS}. While the proposals under a key are undecided,
 * further proposals under that key are dropped: the next visit produces them again. Thread-safe.
 */
@Singleton
final class JobProposalBatcher {
  /** At about 150 bytes per proposal, a batch stays below the record size limit. */
  private static final int MAX_BATCH_PROPOSALS = 200;

  private final Proposer proposer;
  private final Counter resultCounter;
  private final Map<String, List<Proposal>> queuedByKey = new HashMap<>();
  private final Set<String> undecidedKeys = new HashSet<>();

  @Inject
  JobProposalBatcher(Proposer proposer, PrometheusRegistry metrics) {
    this.proposer = proposer;
    this.resultCounter =
        Counter.builder()
            .name("persimmonloom_job_proposals_total")
            .help("Decided proposals about jobs, by result code")
            .labelNames("code")
            .register(metrics);
  }

  /**
   * Queues proposals for the next {@link #flush}; they replace the queued proposals of the key.
   *
   * @param key the worker, or the job and attempt, that the proposals concern
   */
  synchronized void add(String key, List<Proposal> proposals) {
    if (!proposals.isEmpty() && !undecidedKeys.contains(key)) {
      queuedByKey.put(key, proposals);
    }
  }

  /** Submits all queued proposals. */
  void flush() {
    for (Map<String, List<Proposal>> batch : drainBatches()) {
      List<Proposal> proposals = new ArrayList<>();
      batch.values().forEach(proposals::addAll);
      propose(proposals, () -> markDecided(batch.keySet()));
    }
  }

  /**
   * Submits proposals and counts their results. {@code whenDone} runs after the results arrive or
   * the submission fails.
   */
  void propose(List<Proposal> proposals, Runnable whenDone) {
    proposer
        .propose(proposals)
        .whenComplete(
            (results, error) -> {
              if (results != null) {
                results.forEach(this::count);
              }
              whenDone.run();
            });
  }

  private void count(ProposalResult result) {
    resultCounter.labelValues(result.code().toString()).inc();
  }

  private synchronized List<Map<String, List<Proposal>>> drainBatches() {
    List<Map<String, List<Proposal>>> batches = new ArrayList<>();
    int size = MAX_BATCH_PROPOSALS;
    for (Map.Entry<String, List<Proposal>> entry : queuedByKey.entrySet()) {
      if (size + entry.getValue().size() > MAX_BATCH_PROPOSALS) {
        batches.add(new HashMap<>());
        size = 0;
      }
      batches.get(batches.size() - 1).put(entry.getKey(), entry.getValue());
      size += entry.getValue().size();
      undecidedKeys.add(entry.getKey());
    }
    queuedByKey.clear();
    return batches;
  }

  private synchronized void markDecided(Set<String> keys) {
    undecidedKeys.removeAll(keys);
  }
}
