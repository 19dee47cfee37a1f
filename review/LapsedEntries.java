package review;

import java.util.List;

/** The store is down until the entries of the workers lapse; the owner is killed meanwhile. */
final class LapsedEntries implements Script.Case {
  private static final long DOWN_MILLIS = 4_500;
  private static final long KILL_AFTER_MILLIS = 1_500;
  private static final long RESTART_MILLIS = 500;
  private static final long WATCH_MILLIS = 10_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, 8, "audits")) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      // Wide tasks, so that several workers have some.
      Jobs.Job lasting = new Jobs.Job("00000000000000a1", "audits", 5, 5_000, 0, 0);
      Jobs.Job longWork = new Jobs.Job("00000000000000b2", "audits", 8, 5_000, 19_000, 0);
      boolean isAccepted =
          deployment.submit(lasting, 0, 0)
              && deployment.submit(longWork, 0, 0)
              && deployment.awaitRuns(lasting, 5, 15_000)
              && deployment.awaitRuns(longWork, 8, 15_000);
      Deployment.EntryHost leader = deployment.leader();
      if (!isAccepted || leader == null) {
        return Script.NOT_RUN;
      }
      Thread.sleep(2_000);
      if (hasTrouble) {
        record.line("the store is down");
        deployment.store.setDown(true);
        Thread.sleep(KILL_AFTER_MILLIS);
        leader.kill();
        Thread.sleep(RESTART_MILLIS);
        leader.start();
        Thread.sleep(DOWN_MILLIS - KILL_AFTER_MILLIS - RESTART_MILLIS);
        deployment.store.setDown(false);
        record.line("the store is back");
      }
      Thread.sleep(WATCH_MILLIS);
      List<String> overlaps = deployment.jobs.overlaps();
      deployment.jobs.runs().forEach(run -> record.line("run: %s", run));
      overlaps.forEach(overlap -> record.line("TWICE: %s", overlap));
      return overlaps.isEmpty() ? Script.HELD : Script.BROKEN;
    }
  }
}
