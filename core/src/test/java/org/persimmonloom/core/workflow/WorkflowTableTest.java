package org.persimmonloom.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class WorkflowTableTest {
  private static final QueuePolicy POLICY = new QueuePolicy("q", "s", 0, 3, 1.5, 600, 0);

  private final WorkflowRecords records = new WorkflowRecords();
  private final WorkflowTable table = new WorkflowTable();
  private long offset;

  private record LoggedRecord(long offset, TableRecord record) {}

  private void apply(TableRecord record) {
    table.apply(record, offset++);
  }

  private static WorkflowSpec spec(String id) {
    return series(id, 1);
  }

  private static WorkflowSpec series(String id, int occurrences) {
    StepSpec step = StepBuilder.step(2).build();
    int repeatCount = occurrences > 1 ? occurrences : 0;
    return new WorkflowSpec(id, POLICY, "", List.of(step), repeatCount, 0, 1_000, 0);
  }

  private TableRecord progress(String id, WorkflowState state) {
    return progress(id, 0, state);
  }

  private TableRecord progress(String id, int occurrence, WorkflowState state) {
    return records.progress(
        id,
        occurrence,
        new OccurrenceProgress("q", state, new byte[0], new int[0], new int[0][], 1_000));
  }

  private WorkflowState state(String id) {
    return table.find(id).orElseThrow().state();
  }

  /**
   * Guards against a cancellation that changes the state of a workflow that is already complete.
   */
  @Test
  void firstOfCompletionAndCancellationDeterminesTheState() {
    apply(records.submission(spec("a")));
    apply(progress("a", WorkflowState.COMPLETE));
    apply(records.cancellation("a"));
    assertThat(state("a")).isEqualTo(WorkflowState.COMPLETE);

    apply(records.submission(spec("b")));
    apply(records.cancellation("b"));
    apply(progress("b", WorkflowState.COMPLETE));
    assertThat(state("b")).isEqualTo(WorkflowState.CANCELLED);
  }

  /** Guards against a table whose states depend on the order in which the newest records load. */
  @Test
  void newestRecordsInAnyOrderGiveTheSameStates() {
    List<LoggedRecord> newest = new ArrayList<>();
    newest.add(new LoggedRecord(0, records.submission(spec("a"))));
    newest.add(new LoggedRecord(1, progress("a", WorkflowState.ACTIVE)));
    newest.add(new LoggedRecord(2, records.submission(spec("b"))));
    newest.add(new LoggedRecord(3, records.cancellation("b")));
    newest.add(new LoggedRecord(4, progress("b", WorkflowState.CANCELLED)));
    newest.add(new LoggedRecord(5, progress("c", WorkflowState.COMPLETE)));
    newest.add(new LoggedRecord(6, records.cancellation("c")));
    for (int seed = 0; seed < 50; seed++) {
      Collections.shuffle(newest, new Random(seed));
      WorkflowTable loaded = new WorkflowTable();
      newest.forEach(logged -> loaded.apply(logged.record(), logged.offset()));
      assertThat(loaded.find("a").orElseThrow().state()).isEqualTo(WorkflowState.ACTIVE);
      assertThat(loaded.find("b").orElseThrow().state()).isEqualTo(WorkflowState.CANCELLED);
      assertThat(loaded.find("c").orElseThrow().state()).isEqualTo(WorkflowState.COMPLETE);
    }
  }

  /**
   * Guards against a restarted host that shows a series as complete for good, while all others show
   * it as cancelled: it took the end of the first occurrence, read before the submission, for the
   * end of the series.
   */
  @Test
  void seriesThatIsLoadedInTheOrderOfItsKeysEndsWithItsLastOccurrence() {
    table.apply(records.cancellation("a"), 3);
    table.apply(progress("a", 0, WorkflowState.COMPLETE), 1);
    table.apply(records.submission(series("a", 2)), 0);
    table.apply(progress("a", 1, WorkflowState.COMPLETE), 4);
    assertThat(state("a")).isEqualTo(WorkflowState.CANCELLED);
  }

  /** Guards against a table that grows without bound and against states removed too early. */
  @Test
  void endedWorkflowsAreRemovedAfterTheirRetentionTime() {
    apply(records.submission(spec("a")));
    apply(progress("a", WorkflowState.COMPLETE));
    apply(records.submissionRemoval("a"));
    apply(records.submission(spec("b")));
    assertThat(table.removals(1_500, 1_000)).isEmpty();
    table.removals(2_500, 1_000).forEach(this::apply);
    assertThat(table.find("a")).isEmpty();
    assertThat(table.find("b")).isPresent();
  }

  /** Guards against a follower that stops at a record which another writer encoded differently. */
  @Test
  void unreadableRecordsAreCountedAndSkipped() {
    apply(new TableRecord("x.a", new byte[] {1}));
    apply(new TableRecord("s.a", new byte[] {1}));
    apply(new TableRecord("p.a", new byte[] {1}));
    assertThat(table.unreadableCount()).isEqualTo(3);
    assertThat(table.find("a")).isEmpty();
  }
}
