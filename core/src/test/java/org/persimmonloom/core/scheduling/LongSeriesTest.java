package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Scheduled workflows with many occurrences, which change all at once when they are cancelled. */
class LongSeriesTest {
  private static final int OCCURRENCES = 3 * OccurrenceTable.MAX_TAKEN_OCCURRENCES;
  private static final long INTERVAL_MILLIS = 60_000;

  private final SchedulerFixture fleet = new SchedulerFixture();

  private void submitSeries(int occurrences) {
    fleet.apply(
        fleet.records.submission(
            new WorkflowSpec(
                "series",
                SchedulerFixture.POLICY,
                "payload",
                List.of(SchedulerFixture.step(1, 500, List.of())),
                occurrences,
                fleet.now,
                INTERVAL_MILLIS,
                fleet.now)));
  }

  /**
   * Guards against a batch that grows with the length of a series: the batch of a cancelled one was
   * over the size of a call, and the pass that built it stopped all other work.
   */
  @Test
  void cancelledSeriesIsRecordedInBatchesOfBoundedSize() {
    submitSeries(OCCURRENCES);
    fleet.apply(fleet.records.cancellation("series"));
    int recorded = 0;
    while (recorded < OCCURRENCES) {
      List<TableRecord> records = fleet.recordProgress().records();
      assertThat(records).hasSizeBetween(1, OccurrenceTable.MAX_TAKEN_OCCURRENCES + 1);
      recorded += (int) records.stream().filter(record -> record.value() != null).count();
    }
    assertThat(fleet.scheduler.takeProgress(fleet.now).isEmpty()).isTrue();
    assertThat(fleet.table.find("series").orElseThrow().spec()).isEmpty();
  }

  /**
   * Guards against a submission that is removed before all its occurrences are recorded: if the
   * owner fails in between, the next one cannot complete the workflow.
   */
  @Test
  void submissionIsRemovedWithTheLastRecordOfItsWorkflow() {
    submitSeries(OCCURRENCES);
    fleet.apply(fleet.records.cancellation("series"));
    fleet.recordProgress();
    assertThat(fleet.table.find("series").orElseThrow().spec()).isPresent();
    fleet.takeOver();
    while (!fleet.recordProgress().isEmpty()) {
      // Records all that is left.
    }
    assertThat(fleet.table.find("series").orElseThrow().spec()).isEmpty();
    assertThat(fleet.table.find("series").orElseThrow().state()).isEqualTo(WorkflowState.CANCELLED);
  }

  /** Guards against a run end that is acknowledged before the batch with its record is durable. */
  @Test
  void endsAreAcknowledgedWithTheLastOfManyChanges() {
    fleet.addWorker("w1");
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.recordProgress();
    submitSeries(OCCURRENCES);
    fleet.apply(fleet.records.cancellation("series"));
    fleet.endRun("w1", new TaskId("f1", 0, 0, 0), 1, EndCause.DONE);
    fleet.report();
    assertThat(fleet.recordProgress().ends()).isEmpty();
    assertThat(fleet.recordProgress().ends()).isEmpty();
    assertThat(fleet.recordProgress().ends()).isEmpty();
    assertThat(fleet.recordProgress().ends()).hasSize(1);
  }

  /** Guards against occurrences that start before their time, or not at all. */
  @Test
  void occurrencesStartInTheOrderOfTheirTimes() {
    fleet.addWorker("w1");
    fleet.report();
    submitSeries(3);
    assertThat(fleet.decideAndExecute()).hasSize(1);
    assertThat(fleet.decideAndExecute()).isEmpty();
    fleet.now += INTERVAL_MILLIS;
    fleet.report();
    assertThat(fleet.decideAndExecute())
        .singleElement()
        .extracting(order -> order.task().occurrence())
        .isEqualTo(1);
  }
}
