package org.persimmonloom.runtime.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.maintenance.MaintenanceSteps.Step;
import org.persimmonloom.core.maintenance.ProposerOrder;
import org.persimmonloom.runtime.log.Proposer;

/**
 * Proposes steps that every entry host computes alike: the first host in rendezvous order at once,
 * each further one later by {@link #RANK_DELAY_MILLIS}, if the step is still due by then. Confined
 * to one thread.
 */
final class StepProposer {
  /** Longer than an append and its fold usually take, so that the second host rarely proposes. */
  static final long RANK_DELAY_MILLIS = 500;

  private static final long REPEAT_MILLIS = 1_000;

  /** Keeps one entry well below the largest batch. */
  private static final int MAX_GROUP = 64;

  private final Proposer proposer;
  private final String self;
  private Map<String, Pending> pendings = new LinkedHashMap<>();

  private static final class Pending {
    private final long dueMillis;
    private CompletableFuture<?> outcome;
    private long proposedMillis;

    Pending(long dueMillis) {
      this.dueMillis = dueMillis;
    }

    boolean mayPropose(long nowMillis, int rank) {
      boolean isDecided = outcome == null || outcome.isDone();
      return isDecided
          && nowMillis - dueMillis >= rank * RANK_DELAY_MILLIS
          && (outcome == null || nowMillis - proposedMillis >= REPEAT_MILLIS);
    }
  }

  StepProposer(Proposer proposer, String self) {
    this.proposer = proposer;
    this.self = self;
  }

  /** Takes all steps that are due now and returns those that were proposed. */
  List<Step> offer(Collection<Step> due, Collection<String> members, long nowMillis) {
    Map<String, Pending> next = new LinkedHashMap<>();
    List<Step> chosen = new ArrayList<>();
    for (Step step : due) {
      String key = step.proposal().getClass().getSimpleName() + ':' + step.subject();
      Pending known = pendings.get(key);
      Pending pending = known == null ? new Pending(nowMillis) : known;
      next.put(key, pending);
      if (pending.mayPropose(nowMillis, ProposerOrder.rank(self, members, step.subject()))) {
        chosen.add(step);
      }
    }
    pendings = next;
    for (int from = 0; from < chosen.size(); from += MAX_GROUP) {
      propose(chosen.subList(from, Math.min(chosen.size(), from + MAX_GROUP)), nowMillis);
    }
    return chosen;
  }

  private void propose(List<Step> steps, long nowMillis) {
    List<Proposal> proposals = steps.stream().map(Step::proposal).toList();
    CompletableFuture<?> outcome = proposer.propose(proposals);
    for (Step step : steps) {
      Pending pending =
          pendings.get(step.proposal().getClass().getSimpleName() + ':' + step.subject());
      pending.outcome = outcome;
      pending.proposedMillis = nowMillis;
    }
  }
}
