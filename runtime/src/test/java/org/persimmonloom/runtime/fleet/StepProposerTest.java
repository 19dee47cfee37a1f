package org.persimmonloom.runtime.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.maintenance.MaintenanceSteps.Step;
import org.persimmonloom.core.maintenance.ProposerOrder;
import org.persimmonloom.runtime.log.Proposer;

class StepProposerTest {
  private static final List<String> MEMBERS = List.of("e1", "e2", "e3");
  private static final List<Step> DUE = List.of(new Step("h1", new ProbationOver("h1", 5)));

  private final List<Proposal> proposed = new ArrayList<>();
  private final CompletableFuture<List<ProposalResult>> outcome = new CompletableFuture<>();

  private StepProposer at(int rank) {
    String self =
        MEMBERS.stream()
            .filter(it -> ProposerOrder.rank(it, MEMBERS, "h1") == rank)
            .findFirst()
            .orElseThrow();
    Proposer proposer =
        proposals -> {
          proposed.addAll(proposals);
          return outcome;
        };
    return new StepProposer(proposer, self);
  }

  /** Guards against a step that all hosts propose at once, and one that waits for a dead host. */
  @Test
  void laterRanksWaitAndThenPropose() {
    StepProposer last = at(2);
    long due = 1_000 + 2 * StepProposer.RANK_DELAY_MILLIS;
    last.offer(DUE, MEMBERS, 1_000);
    last.offer(DUE, MEMBERS, due - 1);
    assertThat(proposed).isEmpty();
    last.offer(DUE, MEMBERS, due);
    assertThat(proposed).hasSize(1);
  }

  /** Guards against a queue that fills with copies of one step while the log is down. */
  @Test
  void undecidedStepIsNotProposedAgain() {
    StepProposer first = at(0);
    first.offer(DUE, MEMBERS, 1_000);
    first.offer(DUE, MEMBERS, 60_000);
    assertThat(proposed).hasSize(1);
    outcome.complete(List.of());
    first.offer(DUE, MEMBERS, 60_001);
    assertThat(proposed).hasSize(2);
  }

  /** Guards against a step whose wait goes on from an earlier occurrence. */
  @Test
  void stepThatWasNotDueStartsAnew() {
    StepProposer second = at(1);
    second.offer(DUE, MEMBERS, 1_000);
    second.offer(List.of(), MEMBERS, 1_100);
    second.offer(DUE, MEMBERS, 60_000);
    assertThat(proposed).isEmpty();
  }
}
