package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** Tracks which run ends of the workers are recorded and may be acknowledged. Stateless. */
final class RunEndMarks {
  private RunEndMarks() {}

  /** Returns the ends that no batch contains yet and marks them as taken. */
  static List<ProgressBatch.EndMark> take(Collection<WorkerState> workers) {
    List<ProgressBatch.EndMark> marks = new ArrayList<>();
    for (WorkerState worker : workers) {
      if (worker.processedEnd > worker.batchedEnd) {
        worker.batchedEnd = worker.processedEnd;
        marks.add(
            new ProgressBatch.EndMark(worker.facts.id(), worker.bornMillis, worker.processedEnd));
      }
    }
    return marks;
  }

  /** Marks ends as recorded, unless they are of an earlier process of their worker. */
  static void recorded(List<ProgressBatch.EndMark> marks, Map<String, WorkerState> workers) {
    for (ProgressBatch.EndMark mark : marks) {
      WorkerState worker = workers.get(mark.worker());
      if (worker != null && worker.bornMillis == mark.bornMillis()) {
        worker.recordedEnd = Math.max(worker.recordedEnd, mark.number());
      }
    }
  }
}
