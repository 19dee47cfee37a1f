package org.persimmonloom.core.explain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Position;
import org.persimmonloom.core.fold.ProposalResult;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.result.ResultCode;

class DecisionJournalTest {
  private final DecisionJournal journal = new DecisionJournal();

  private static Position positionAt(long offset) {
    return new Position(offset, 0, offset * 1_000, "e1", 1, 1);
  }

  private void refuse(long offset, String host) {
    journal.recordResult(
        new ProposalResult(
            positionAt(offset),
            new DrainRequested(host, "w1"),
            ResultCode.BUDGET_EXHAUSTED,
            "held by x"));
  }

  /**
   * Guards against refusals that lack their figures or the condition that would change the result.
   */
  @Test
  void refusalIsRecordedForEachSubjectWithItsRemedy() {
    refuse(7, "h1");
    assertThat(journal.decisionsAbout(Subject.host("h1")))
        .isEqualTo(
            List.of(
                new Decision(
                    7,
                    7_000,
                    Subject.host("h1"),
                    ResultCode.BUDGET_EXHAUSTED,
                    "DrainRequested: held by x",
                    Remedies.of(ResultCode.BUDGET_EXHAUSTED),
                    1,
                    false)));
    assertThat(journal.decisionsAbout(Subject.wave("w1"))).hasSize(1);
  }

  /** Guards against a retried step that displaces the history, and against unbounded growth. */
  @Test
  void repeatedDecisionsAreCountedAndOldestSubjectsDropped() {
    refuse(1, "h1");
    refuse(2, "h1");
    assertThat(journal.decisionsAbout(Subject.host("h1")))
        .singleElement()
        .matches(decision -> decision.times() == 2);
    for (int index = 0; index < DecisionJournal.MAX_DECISIONS; index++) {
      journal.record(Subject.job("j" + index), positionAt(index), ResultCode.OK, "started");
    }
    assertThat(journal.decisionsAbout(Subject.host("h1"))).isEmpty();
    assertThat(journal.snapshot().decisions()).hasSize(DecisionJournal.MAX_DECISIONS);
    for (int index = 0; index < 100; index++) {
      journal.record(Subject.job("busy"), positionAt(index), ResultCode.OK, "step " + index);
    }
    assertThat(journal.decisionsAbout(Subject.job("busy")))
        .hasSize(DecisionJournal.MAX_PER_SUBJECT);
  }
}
