package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;

/** Proposes to quarantine workers at which jobs fail that succeed elsewhere. Pure. */
public final class QuarantinePlanner {
  private QuarantinePlanner() {}

  /**
   * Returns a quarantine for each worker with enough charges. The fold checks the availability
   * budgets and the limit of quarantines per pool.
   */
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
