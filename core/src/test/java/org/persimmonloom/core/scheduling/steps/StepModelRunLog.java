package org.persimmonloom.core.scheduling.steps;

import java.util.Optional;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.ReleasedRun;
import org.persimmonloom.core.scheduling.RunListener;

/** Writes what the scheduler of a term decides and concludes into the trace. */
final class StepModelRunLog implements RunListener {
  private final StepModel model;
  private final int host;
  private final long fence;

  StepModelRunLog(StepModel model, int host, long fence) {
    this.model = model;
    this.host = host;
    this.fence = fence;
  }

  @Override
  public void runOrdered(Order.Start start, long submittedOffset, Optional<ReleasedRun> previous) {
    model.trace(
        "host %d fence %d orders %s run %d on %s after %s",
        host,
        fence,
        start.task(),
        start.run(),
        start.worker().id(),
        previous.map(Object::toString).orElse("none"));
  }

  @Override
  public void runReleased(ReleasedRun released) {
    model.trace(
        "host %d fence %d releases %s run %d on %s: %s",
        host, fence, released.task(), released.number(), released.worker(), released.release());
  }
}
