package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/** Proposes to quarantine workers that failed jobs which succeeded elsewhere. Pure. */
public final class QuarantinePlanner {
  private QuarantinePlanner() {}

  /** Returns the quarantines that the figures call for; the fold checks budget and share. */
  public static List<WorkerQuarantined> plan(JobTable table, long offset) {
    List<WorkerQuarantined> quarantines = new ArrayList<>();
    for (WorkerRecord worker : table.workers()) {
      int charges = worker.charges().size();
      if (!worker.isQuarantined() && charges >= WorkerEvents.MIN_CHARGES) {
        String figures =
            charges
                + " jobs failed here and succeeded elsewhere "
                + worker.charges()
                + ", "
                + worker.failuresInRow()
                + " failures in a row";
        quarantines.add(new WorkerQuarantined(worker.worker(), offset, figures));
      }
    }
    return quarantines;
  }
}
