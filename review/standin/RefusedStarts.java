package review;

import java.util.ArrayList;
import java.util.List;

/** The only worker with room refuses all starts for a while, and jobs wait. */
final class RefusedStarts implements Script.Case {
  private static final String SERVICE = "checks";
  private static final int WORKERS = 12;
  private static final int FULL_JOBS = 11;
  private static final int WAITING_JOBS = 20;
  private static final long REFUSE_MILLIS = 6_500;

  /** The bound {@code visible_ms} and 2 s more. */
  private static final long OLD_MILLIS = 5_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, WORKERS, SERVICE)) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      for (int i = 0; i < FULL_JOBS; i++) {
        Jobs.Job full = new Jobs.Job(String.format("%016x", 0xf00L + i), SERVICE, 8, 2_000, 19_000, 0);
        if (!deployment.submit(full, 0, 0) || !deployment.awaitRuns(full, 8, 10_000)) {
          return Script.NOT_RUN;
        }
      }
      Worker free =
          deployment.workers.stream().filter(worker -> worker.usedCpu() == 0).findFirst().get();
      if (hasTrouble) {
        free.shed(true);
      }
      long began = Recorder.nowMillis();
      List<Jobs.Job> waiting = new ArrayList<>();
      List<Long> acceptedMillis = new ArrayList<>();
      for (int i = 0; i < WAITING_JOBS; i++) {
        Jobs.Job job =
            new Jobs.Job(String.format("%016x", 0xa00L + i), SERVICE, 1, 700, 540, 0);
        if (!deployment.submit(job, 0, 0)) {
          return Script.NOT_RUN;
        }
        waiting.add(job);
        acceptedMillis.add(Recorder.nowMillis());
      }
      boolean isBroken = false;
      while (Recorder.nowMillis() < began + REFUSE_MILLIS - 100) {
        for (Deployment.EntryHost host : deployment.hosts) {
          isBroken |= isWrong(deployment, host, record, waiting, acceptedMillis);
        }
        Thread.sleep(100);
      }
      if (hasTrouble) {
        free.shed(false);
      }
      return isBroken ? Script.BROKEN : Script.HELD;
    }
  }

  /** Returns whether a host gives under half of the old jobs that have not begun. */
  private static boolean isWrong(
      Deployment deployment,
      Deployment.EntryHost host,
      Recorder record,
      List<Jobs.Job> jobs,
      List<Long> acceptedMillis) {
    long now = Recorder.nowMillis();
    int given = deployment.waiting(host, SERVICE);
    int old = 0;
    for (int i = 0; i < jobs.size(); i++) {
      String id = jobs.get(i).id();
      boolean hasBegun =
          deployment.jobs.runs().stream().anyMatch(run -> run.task.startsWith(id + "."));
      old += now - acceptedMillis.get(i) > OLD_MILLIS && !hasBegun ? 1 : 0;
    }
    if (given < 0 || old == 0) {
      return false;
    }
    record.line("client: GET %s at %s: waiting %d, of %d", SERVICE, host.name, given, old);
    return given * 2 < old;
  }
}
