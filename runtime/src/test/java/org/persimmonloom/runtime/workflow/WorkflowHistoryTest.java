package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Plays random histories; more than the usual ones with {@code -Dhistory.seeds}. */
class WorkflowHistoryTest {
  private static final int SEEDS = Integer.getInteger("history.seeds", 20);
  private static final int STEPS = 3_000;

  private static void play(WorkflowHistory.Options options) {
    List<String> failures = new ArrayList<>();
    int starts = 0;
    for (int seed = 1; seed <= SEEDS; seed++) {
      WorkflowHistory history = new WorkflowHistory(seed, options);
      try {
        history.play(STEPS);
      } catch (AssertionError e) {
        failures.add("seed " + seed + ": " + e.getMessage());
      }
      starts += history.starts();
    }
    assertThat(failures).isEmpty();
    // A history in which little starts would show nothing.
    assertThat(starts).isGreaterThan(SEEDS * 200);
  }

  /**
   * Guards against an owner that adds a workflow anew after a repeated or late submission, a load
   * of the table or a change of the owner, and so starts a task again or acknowledges an end that
   * is not recorded.
   */
  @Test
  void noTaskRunsTwiceAfterRepeatedSubmissionsAndLoads() {
    play(new WorkflowHistory.Options(false, false, false));
  }

  /**
   * Guards against a new owner that starts a task again, since its queue was routed away and back
   * before the term began and a worker of the service between has not reported.
   */
  @Test
  void noTaskRunsTwiceWhileItsQueueIsRoutedToAndFro() {
    play(new WorkflowHistory.Options(true, false, false));
  }

  /** Guards against the same, with submissions that are repeated with the route of their time. */
  @Test
  void noTaskRunsTwiceAfterItsSubmissionIsRepeatedWithAnotherRoute() {
    play(new WorkflowHistory.Options(true, true, false));
  }

  /**
   * Guards against tasks of a workflow that was cancelled before its submission was written, also
   * after repeated submissions, loads of the table and changes of the owner.
   */
  @Test
  void workflowThatWasCancelledBeforeItsSubmissionStartsNothing() {
    play(new WorkflowHistory.Options(true, false, true));
  }

  /**
   * Guards against a second run of a task whose first start is not recorded: an owner that has been
   * replaced started it before it read of its successor, and the queue was routed back at once.
   */
  @Test
  void noTaskRunsTwiceAfterAnUnrecordedStartOnAnotherRoute() {
    WorkflowHistory history =
        new WorkflowHistory(339, new WorkflowHistory.Options(true, false, false));
    assertThatCode(() -> history.play(STEPS)).doesNotThrowAnyException();
  }
}
