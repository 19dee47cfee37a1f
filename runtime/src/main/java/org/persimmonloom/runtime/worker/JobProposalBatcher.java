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
 * Groups the proposals about workers into few appends.
 *
 * <p>What all visits of one tick found is proposed in one call. While the proposals of a worker are
 * undecided, further ones of that worker are dropped: its next report shows the same again. Safe
 * for any thread.
 */
@Singleton
final class JobProposalBatcher {
  /** Proposals of one call; at about 150 bytes each they stay below the limit of a record. */
  private static final int MAX_GROUP = 200;

  private final Proposer proposer;
  private final Counter verdicts;
  private final Map<String, List<Proposal>> ready = new HashMap<>();
  private final Set<String> undecided = new HashSet<>();

  @Inject
  JobProposalBatcher(Proposer proposer, PrometheusRegistry metrics) {
    this.proposer = proposer;
    this.verdicts =
        Counter.builder()
            .name("persimmonloom_job_proposals_total")
            .help("Decided proposals about jobs, by result code")
            .labelNames("code")
            .register(metrics);
  }

  /** Adds what a visit found. */
  synchronized void add(String worker, List<Proposal> proposals) {
    if (!proposals.isEmpty() && !undecided.contains(worker)) {
      ready.put(worker, proposals);
    }
  }

  /** Proposes what was added. */
  void flush() {
    for (Map<String, List<Proposal>> group : takeGroups()) {
      List<Proposal> proposals = new ArrayList<>();
      group.values().forEach(proposals::addAll);
      propose(proposals, () -> decided(group.keySet()));
    }
  }

  /**
   * Proposes and counts the verdicts; {@code whenDone} runs once they are known or never will be.
   */
  void propose(List<Proposal> proposals, Runnable whenDone) {
    proposer
        .propose(proposals)
        .whenComplete(
            (decided, error) -> {
              if (decided != null) {
                decided.forEach(this::count);
              }
              whenDone.run();
            });
  }

  private void count(ProposalResult verdict) {
    verdicts.labelValues(verdict.code().toString()).inc();
  }

  private synchronized List<Map<String, List<Proposal>>> takeGroups() {
    List<Map<String, List<Proposal>>> groups = new ArrayList<>();
    int size = MAX_GROUP;
    for (Map.Entry<String, List<Proposal>> entry : ready.entrySet()) {
      if (size + entry.getValue().size() > MAX_GROUP) {
        groups.add(new HashMap<>());
        size = 0;
      }
      groups.get(groups.size() - 1).put(entry.getKey(), entry.getValue());
      size += entry.getValue().size();
      undecided.add(entry.getKey());
    }
    ready.clear();
    return groups;
  }

  private synchronized void decided(Set<String> workers) {
    undecided.removeAll(workers);
  }
}
