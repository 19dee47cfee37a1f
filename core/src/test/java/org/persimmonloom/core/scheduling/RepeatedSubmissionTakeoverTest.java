package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests an owner that takes over between a repeated submission and its correction. */
class RepeatedSubmissionTakeoverTest {
  private static final String ID = "f1";

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void completeFirstSubmission() {
    fleet.addWorker("w1");
    fleet.report();
    submit("first", 2);
    assertThat(starts()).hasSize(2);
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    fleet.recordProgress();
    assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
  }

  private void submit(String payload, int repeatCount) {
    List<StepSpec> steps = List.of(SchedulerFixture.step(1, 500, List.of()));
    fleet.apply(
        fleet.records.submission(
            new WorkflowSpec(
                ID, SchedulerFixture.POLICY, payload, steps, repeatCount, 0, 0, fleet.now)));
  }

  private List<Order> starts() {
    return fleet.decideAndExecute().stream().filter(Order.Start.class::isInstance).toList();
  }

  private WorkflowState state() {
    return fleet.table.find(ID).orElseThrow().state();
  }

  private void takeOver() {
    fleet.takeOver();
    fleet.report();
  }

  @Test
  void repeatOfTheSameBodyAfterTheEndStartsNothing() {
    submit("first", 2);
    takeOver();
    assertThat(starts()).isEmpty();
    fleet.recordProgress();
    assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
  }

  /** Guards against tasks of a workflow that has been shown as complete. */
  @Test
  @Tag("known-red")
  void longerSeriesAfterTheEndStartsNothing() {
    submit("second", 3);
    takeOver();
    assertThat(starts()).isEmpty();
  }

  /** Guards against a workflow that has ended and is shown as active for good. */
  @Test
  @Tag("known-red")
  void shorterSeriesAfterTheEndIsRemoved() {
    submit("second", 0);
    takeOver();
    assertThat(starts()).isEmpty();
    fleet.recordProgress();
    assertThat(state()).isEqualTo(WorkflowState.COMPLETE);
  }
}
