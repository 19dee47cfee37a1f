package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.TaskId;

/** Tests from which checkpoint the next run of a task resumes. */
class CheckpointTest {
  private static final TaskId TASK = task(0);

  private final SchedulerFixture fleet = new SchedulerFixture();

  private static TaskId task(int index) {
    return new TaskId("f1", 0, 0, index);
  }

  private static RunningTask runs(TaskId task, int run, String checkpoint) {
    return new RunningTask(task, run, checkpoint, 100, 0);
  }

  private void report(String worker, List<RunningTask> running, EndedTask... ended) {
    fleet.now += 10;
    fleet.scheduler.workerReported(
        fleet.workers.get(worker),
        fleet.now - 1,
        new WorkerReport(fleet.now, SchedulerFixture.BORN_MILLIS, running, List.of(ended)),
        fleet.now);
  }

  private List<String> startedFrom() {
    return fleet.decide().stream()
        .filter(Order.Start.class::isInstance)
        .map(order -> ((Order.Start) order).checkpoint())
        .toList();
  }

  private void submitBeforeTakeover(int tasks, boolean isGang) {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    StepBuilder step = StepBuilder.step(tasks);
    fleet.submit("f1", (isGang ? step.gang(false) : step).build());
    fleet.takeOver();
  }

  /** Guards against work that is lost because the end of an older run is read later. */
  @Test
  void endOfAnOlderRunDoesNotReplaceTheNewerCheckpoint() {
    submitBeforeTakeover(1, false);
    report("w2", List.of(), new EndedTask(1, TASK, 2, EndCause.STOPPED, "newer"));
    report("w1", List.of(), new EndedTask(1, TASK, 1, EndCause.STOPPED, "older"));
    assertThat(startedFrom()).containsExactly("newer");
  }

  /** Guards against work that is lost because a worker still reports an older run. */
  @Test
  void presenceOfAnOlderRunDoesNotReplaceTheNewerCheckpoint() {
    submitBeforeTakeover(1, false);
    report("w2", List.of(), new EndedTask(1, TASK, 2, EndCause.STOPPED, "newer"));
    report("w1", List.of(runs(TASK, 1, "older")));
    report("w1", List.of(), new EndedTask(1, TASK, 1, EndCause.LEASE_EXPIRED, "older"));
    assertThat(startedFrom()).containsExactly("newer");
  }

  /** Guards against a guard that also ignores the later checkpoints of the same run. */
  @Test
  void laterCheckpointOfARunReplacesItsEarlierOne() {
    submitBeforeTakeover(1, false);
    report("w1", List.of(runs(TASK, 2, "first")));
    report("w1", List.of(runs(TASK, 2, "second")));
    report("w1", List.of(), new EndedTask(1, TASK, 2, EndCause.STOPPED, "third"));
    report("w2", List.of());
    assertThat(startedFrom()).containsExactly("third");
  }

  /** Guards against work that is lost because the newest run has not saved any yet. */
  @Test
  void runWithoutACheckpointKeepsThatOfAnOlderRun() {
    submitBeforeTakeover(1, false);
    report("w1", List.of(), new EndedTask(1, TASK, 1, EndCause.STOPPED, "older"));
    report("w2", List.of(), new EndedTask(1, TASK, 2, EndCause.LEASE_EXPIRED, ""));
    assertThat(startedFrom()).containsExactly("older");
  }

  /** Guards against a gang that begins anew because its first member reported no checkpoint. */
  @Test
  void gangResumesFromTheCheckpointOfAnyMember() {
    submitBeforeTakeover(3, true);
    report("w1", List.of(), new EndedTask(1, task(0), 1, EndCause.GANG_BROKEN, ""));
    report(
        "w2",
        List.of(),
        new EndedTask(1, task(1), 1, EndCause.GANG_BROKEN, "saved"),
        new EndedTask(2, task(2), 1, EndCause.LEASE_EXPIRED, ""));
    assertThat(startedFrom()).containsExactly("saved", "saved", "saved");
  }

  /** Guards against a gang that resumes from an older run because of the order of its members. */
  @Test
  void gangResumesFromItsNewestRun() {
    submitBeforeTakeover(2, true);
    report("w1", List.of(), new EndedTask(1, task(0), 1, EndCause.GANG_BROKEN, "older"));
    report("w2", List.of(), new EndedTask(1, task(1), 2, EndCause.GANG_BROKEN, "newer"));
    assertThat(startedFrom()).containsExactly("newer", "newer");
  }

  /** Guards against members that resume from different points of the work. */
  @Test
  void membersOfAGangCarryOneCheckpoint() {
    submitBeforeTakeover(4, true);
    EndedTask[] ends =
        IntStream.range(0, 4)
            .mapToObj(i -> new EndedTask(i + 1, task(i), 1, EndCause.GANG_BROKEN, "saved" + i))
            .toArray(EndedTask[]::new);
    report("w1", List.of(), ends);
    report("w2", List.of());
    List<String> started = startedFrom();
    assertThat(started).hasSize(4);
    assertThat(started).containsOnly(started.get(0));
    assertThat(started.get(0)).startsWith("saved");
  }

  /** Guards against a checkpoint of another task, step, occurrence or workflow. */
  @Test
  void taskResumesOnlyFromItsOwnCheckpoint() {
    submitBeforeTakeover(2, false);
    EndedTask[] foreign = {
      new EndedTask(1, new TaskId("f1", 0, 0, 2), 3, EndCause.STOPPED, "index"),
      new EndedTask(2, new TaskId("f1", 0, 1, 0), 3, EndCause.STOPPED, "step"),
      new EndedTask(3, new TaskId("f1", 1, 0, 0), 3, EndCause.STOPPED, "occurrence"),
      new EndedTask(4, new TaskId("f2", 0, 0, 0), 3, EndCause.STOPPED, "workflow"),
      new EndedTask(5, new TaskId("f1", 0, 0, -1), 3, EndCause.STOPPED, "negative"),
      new EndedTask(6, task(1), 3, EndCause.STOPPED, "own")
    };
    report("w1", List.of(), foreign);
    report("w2", List.of());
    assertThat(startedFrom()).containsExactly("", "own");
  }
}
