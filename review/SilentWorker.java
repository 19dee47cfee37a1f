package review;

import java.util.List;

/** A worker is cut off and runs on; the owner is stopped as planned meanwhile. */
final class SilentWorker implements Script.Case {
  private static final long CUT_MILLIS = 5_500;
  private static final long STOP_AFTER_MILLIS = 1_000;
  private static final long WATCH_MILLIS = 12_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, 8, "audits")) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      Jobs.Job lasting = new Jobs.Job("00000000000000a1", "audits", 5, 1_300, 0, 0);
      Jobs.Job longWork = new Jobs.Job("00000000000000b2", "audits", 4, 2_500, 19_000, 0);
      boolean isAccepted =
          deployment.submit(lasting, 0, 0)
              && deployment.submit(longWork, 0, 0)
              && deployment.awaitRuns(lasting, 5, 15_000)
              && deployment.awaitRuns(longWork, 4, 15_000);
      Deployment.EntryHost leader = deployment.leader();
      if (!isAccepted || leader == null) {
        return Script.NOT_RUN;
      }
      Thread.sleep(2_000);
      Worker worker =
          deployment.workers.stream().filter(found -> found.runCount() > 0).findFirst().get();
      if (hasTrouble) {
        worker.link.cut();
        record.line("%s is cut off with %d tasks", worker.id, worker.runCount());
      }
      Thread.sleep(STOP_AFTER_MILLIS);
      leader.terminate();
      Thread.sleep(CUT_MILLIS - STOP_AFTER_MILLIS);
      if (hasTrouble) {
        worker.link.heal();
        record.line("%s is reached again", worker.id);
      }
      Thread.sleep(WATCH_MILLIS);
      List<String> overlaps = deployment.jobs.overlaps();
      deployment.jobs.runs().forEach(run -> record.line("run: %s", run));
      overlaps.forEach(overlap -> record.line("TWICE: %s", overlap));
      return overlaps.isEmpty() ? Script.HELD : Script.BROKEN;
    }
  }
}
