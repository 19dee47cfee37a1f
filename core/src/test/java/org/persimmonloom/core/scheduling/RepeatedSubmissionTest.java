package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowEntry;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Guards against a workflow whose identifier is used again and that runs tasks of both bodies. */
class RepeatedSubmissionTest {
  private static final String ID = "f1";

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void addWorkers() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.report();
  }

  private static StepSpec step(int tasks, List<Integer> after) {
    return SchedulerFixture.step(tasks, 500, after);
  }

  private void submit(String payload, int repeatCount, StepSpec... steps) {
    fleet.apply(
        fleet.records.submission(
            new WorkflowSpec(
                ID,
                SchedulerFixture.POLICY,
                payload,
                List.of(steps),
                repeatCount,
                0,
                0,
                fleet.now)));
  }

  private void submitFirst() {
    submit("first", 0, step(1, List.of()), step(2, List.of(0)));
  }

  private void submitSecond() {
    submit("second", 3, step(1, List.of()), step(1, List.of()), step(1, List.of()));
  }

  private List<String> started() {
    return fleet.decideAndExecute().stream()
        .filter(Order.Start.class::isInstance)
        .map(order -> order.task() + " " + ((Order.Start) order).payload())
        .toList();
  }

  private void takeOver() {
    fleet.takeOver();
    fleet.report();
  }

  private void complete() {
    while (!started().isEmpty()) {
      fleet.endAllRuns(EndCause.DONE);
      fleet.report();
    }
    fleet.recordProgress();
  }

  private WorkflowEntry entry() {
    return fleet.table.find(ID).orElseThrow();
  }

  @Test
  void nextOwnerGoesOnWithTheSubmissionThatHasBegun() {
    submitFirst();
    assertThat(started()).containsExactly("f1.0.0.0 first");
    submitSecond();
    fleet.recordProgress();
    takeOver();
    assertThat(started()).isEmpty();
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    assertThat(started()).containsExactly("f1.0.1.0 first", "f1.0.1.1 first");
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    assertThat(started()).isEmpty();
    fleet.recordProgress();
    assertThat(entry().state()).isEqualTo(WorkflowState.COMPLETE);
  }

  /** Guards against a second body that the next owner takes over before it has been undone. */
  @Test
  @Tag("known-red")
  void nextOwnerGoesOnWithTheFirstSubmissionIfTheLastOneWroteNothing() {
    submitFirst();
    assertThat(started()).containsExactly("f1.0.0.0 first");
    submitSecond();
    takeOver();
    assertThat(started()).isEmpty();
  }

  /** Guards against a series that counts as over between two occurrences. */
  @Test
  void seriesGoesOnAfterARepeat() {
    submit("first", 2, step(1, List.of()));
    assertThat(started()).containsExactly("f1.0.0.0 first", "f1.1.0.0 first");
    fleet.endRun(workerOf(0), new TaskId(ID, 0, 0, 0), 1, EndCause.DONE);
    fleet.report();
    fleet.recordProgress();
    submit("first", 2, step(1, List.of()));
    assertThat(fleet.scheduler.takeProgress(fleet.now).records()).isEmpty();
    takeOver();
    fleet.endAllRuns(EndCause.FAILED);
    fleet.report();
    assertThat(started()).containsExactly("f1.1.0.0 first");
  }

  private String workerOf(int occurrence) {
    TaskId task = new TaskId(ID, occurrence, 0, 0);
    return fleet.running.keySet().stream()
        .filter(worker -> fleet.running.get(worker).containsKey(task))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a record for each of the repeats that are usual after a lost answer. */
  @Test
  void repeatOfTheSameBodyIsNotWrittenAgain() {
    submitFirst();
    started();
    fleet.recordProgress();
    fleet.now += 1_000;
    submitFirst();
    assertThat(fleet.scheduler.takeProgress(fleet.now).records()).isEmpty();
  }

  @Test
  void otherBodyAfterTheEndStartsNothing() {
    submitFirst();
    complete();
    submitSecond();
    assertThat(started()).isEmpty();
    fleet.recordProgress();
    assertThat(entry().state()).isEqualTo(WorkflowState.COMPLETE);
    takeOver();
    assertThat(started()).isEmpty();
  }

  /** Guards against a workflow that is kept for ever, since it counts as not ended. */
  @Test
  void submissionThatIsRepeatedAfterTheEndIsRemoved() {
    submitFirst();
    complete();
    submitFirst();
    assertThat(started()).isEmpty();
    fleet.recordProgress();
    assertThat(entry().spec()).isEmpty();
    assertThat(fleet.scheduler.takeProgress(fleet.now).records()).isEmpty();
    assertThat(fleet.table.removals(fleet.now + 1_000, 500)).isNotEmpty();
  }

  @Test
  void submissionThatIsRepeatedAfterACancellationIsRemoved() {
    submitFirst();
    started();
    fleet.apply(fleet.records.cancellation(ID));
    fleet.recordProgress();
    submitSecond();
    assertThat(started()).isEmpty();
    fleet.recordProgress();
    assertThat(entry().spec()).isEmpty();
    assertThat(entry().state()).isEqualTo(WorkflowState.CANCELLED);
  }

  /** Guards against a removal that is written for each change while the first is not read yet. */
  @Test
  void removalIsWrittenOnce() {
    submitFirst();
    complete();
    submitFirst();
    submitSecond();
    List<TableRecord> records = fleet.scheduler.takeProgress(fleet.now).records();
    assertThat(records).containsExactly(fleet.records.submissionRemoval(ID));
  }
}
