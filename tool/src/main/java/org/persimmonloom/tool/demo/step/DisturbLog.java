package org.persimmonloom.tool.demo.step;

import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoStep;
import org.persimmonloom.tool.standin.LogFaults;

/**
 * Lets the platform log lose the answers of appends, then takes it down.
 *
 * @param lostAnswersMillis how long appends take effect without an answer
 * @param outageMillis how long the log refuses everything after that
 */
public record DisturbLog(long lostAnswersMillis, long outageMillis) implements DemoStep {
  @Override
  public String description() {
    return "the log loses answers for %d ms, then is down for %d ms"
        .formatted(lostAnswersMillis, outageMillis);
  }

  @Override
  public void run(DemoRun run) throws InterruptedException {
    LogFaults faults = run.platform().log().faults();
    faults.setLosesAnswers(true);
    Thread.sleep(lostAnswersMillis);
    faults.setOutage(true);
    Thread.sleep(outageMillis);
    faults.setLosesAnswers(false);
    faults.setOutage(false);
    run.progress("the log is back");
  }
}
