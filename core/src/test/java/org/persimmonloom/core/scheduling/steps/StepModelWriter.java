package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.persimmonloom.core.scheduling.steps.StepModelHost.Lane;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * The writer of a term: one append in flight, which is repeated with its number until it is
 * answered, as in {@code TableWriter}. Not thread-safe.
 */
final class StepModelWriter {
  private static final String PRODUCER = "fleet-owner";
  private static final long LIMIT_MILLIS = 800;

  private final StepModel model;
  private final StepModelHost host;
  private final long epoch;
  private final List<Pending> queue = new ArrayList<>();
  private List<Pending> group = List.of();
  private long sequence;
  private long delay;
  private boolean isStopped;

  private record Pending(List<TableRecord> records, Consumer<StepModelStore.Append> outcome) {}

  StepModelWriter(StepModel model, StepModelHost host, long epoch) {
    this.model = model;
    this.host = host;
    this.epoch = epoch;
  }

  void stop() {
    isStopped = true;
  }

  void append(List<TableRecord> records, Consumer<StepModelStore.Append> outcome) {
    queue.add(new Pending(records, outcome));
    host.run(Lane.WRITER, 0, this::writeNext);
  }

  private void writeNext() {
    if (group.isEmpty() && !queue.isEmpty()) {
      group = List.copyOf(queue);
      queue.clear();
      delay = 40;
      write();
    }
  }

  private void write() {
    if (isStopped) {
      return;
    }
    List<TableRecord> records = new ArrayList<>();
    group.forEach(pending -> records.addAll(pending.records));
    long number = sequence + 1;
    host.callStore(
        Lane.WRITER,
        LIMIT_MILLIS,
        () -> model.store().append(PRODUCER, epoch, number, records),
        result -> {
          if (isStopped) {
            return;
          }
          if (result == null) {
            host.run(Lane.WRITER, delay + model.noise((int) delay, "retry"), this::write);
            delay = Math.min(400, 2 * delay);
            return;
          }
          sequence += result == StepModelStore.Append.WRITTEN ? 1 : 0;
          List<Pending> written = group;
          group = List.of();
          written.forEach(pending -> pending.outcome.accept(result));
          writeNext();
        });
  }
}
