package org.persimmonloom.core.scheduling.steps;

import java.util.List;
import java.util.Optional;
import org.persimmonloom.core.workflow.StepBuilder;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;

/** The submissions of a run. Not thread-safe. */
final class StepModelLoad {
  static final int WORKFLOWS = 20;
  private static final WorkflowRecords RECORDS = new WorkflowRecords();

  private final StepModel model;
  private final long seed;

  StepModelLoad(StepModel model, long seed) {
    this.model = model;
    this.seed = seed;
  }

  void start() {
    long interval = StepPlan.LAST_SUBMISSION_MILLIS / WORKFLOWS;
    for (int number = 0; number < WORKFLOWS; number++) {
      TableRecord record = RECORDS.submission(spec(number, number * interval));
      model.at(model.now() + 1_000 + number * interval, () -> submit(record));
    }
  }

  private void submit(TableRecord record) {
    model.trace("submission %s", record.key());
    model.store().append(record);
  }

  private WorkflowSpec spec(int number, long delay) {
    String id = "w" + seed + "x" + number;
    int kind = model.noise(4, id);
    int tasks = 1 + model.noise(4, "tasks " + id);
    StepSpec first = StepBuilder.step(tasks).build();
    List<StepSpec> steps =
        kind == 0 ? List.of(first) : List.of(first, StepBuilder.step(2).after(List.of(0)).build());
    boolean isSeries = kind == 3;
    long accepted = model.wall() + 1_000 + delay;
    return new WorkflowSpec(
        id,
        StepModel.policy("laundry"),
        "payload",
        isSeries ? List.of(first) : steps,
        isSeries ? 3 : 0,
        isSeries ? accepted + 500 : 0,
        isSeries ? 2_000 : 0,
        accepted);
  }

  /** Appends the record of a submission again, if it has been appended. */
  static void repeat(StepModel model, int number) {
    find(model, "s.", number)
        .ifPresent(
            record -> {
              model.trace("submission again %s", record.key());
              model.store().append(record);
            });
  }

  static void cancel(StepModel model, int number) {
    find(model, "s.", number)
        .ifPresent(
            record -> {
              model.trace("cancellation of %s", record.key());
              model.store().append(RECORDS.cancellation(record.key().substring(2)));
            });
  }

  private static Optional<TableRecord> find(StepModel model, String prefix, int number) {
    return model.store().read(0).records().stream()
        .map(StepModelStore.Stored::record)
        .filter(record -> record.value() != null && record.key().startsWith(prefix))
        .filter(record -> record.key().endsWith("x" + number))
        .findFirst();
  }
}
