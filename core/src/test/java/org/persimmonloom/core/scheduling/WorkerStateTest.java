package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TaskId;
import org.persimmonloom.core.workflow.WorkflowSpec;

class WorkerStateTest {
  private static final long NOW = 1_000;

  /** Guards against lost capacity when a task restarts where its older run is still stopping. */
  @Test
  void replacedRunReleasesItsResources() {
    WorkflowSpec spec =
        new WorkflowSpec(
            "flow",
            SchedulerFixture.POLICY,
            "",
            List.of(SchedulerFixture.step(1, 1_000, List.of())),
            0,
            0,
            0,
            NOW);
    OccurrenceState occurrence = new OccurrenceState(spec, 0, 0, NOW);
    Resources capacity = new Resources(4_000, 8_000, 0);
    WorkerFacts facts =
        new WorkerFacts("w", "a:80", "laundry", "a", false, capacity, Set.of(), NOW);
    WorkerState worker = new WorkerState(facts, 6_000, false);
    TaskId task = new TaskId("flow", 0, 0, 0);
    TaskRun older = new TaskRun(task, 1, worker, occurrence, NOW);
    TaskRun newer = new TaskRun(task, 2, worker, occurrence, NOW);

    worker.add(older);
    worker.add(newer);
    assertThat(worker.free).isEqualTo(capacity.minus(newer.reserved));
    worker.remove(older);
    worker.remove(newer);
    assertThat(worker.free).isEqualTo(capacity);
  }
}
