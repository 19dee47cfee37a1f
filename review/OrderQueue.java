package review;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A worker loses power for good, and a job whose tasks ran there is cancelled. */
final class OrderQueue implements Script.Case {
  private static final long FINISH_MILLIS = 14_000;
  private static final long IDLE_MILLIS = 3_000;
  private static final long WATCH_MILLIS = 60_000;
  private static final int WORKER_CPU = 16_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, 8, "audits", "checks")) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      Jobs.Job wide = new Jobs.Job("00000000000000c1", "audits", 24, 600, 19_000, 0);
      if (!deployment.submit(wide, 0, 0) || !deployment.awaitRuns(wide, 24, 15_000)) {
        return Script.NOT_RUN;
      }
      Thread.sleep(1_000);
      if (hasTrouble) {
        busiest(deployment, wide).losePower();
      }
      Thread.sleep(500);
      boolean isAccepted = deployment.cancel(wide);
      List<Jobs.Job> later = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        Thread.sleep(500);
        Jobs.Job job = new Jobs.Job("00000000000000d" + i, "checks", 6, 880, 540, 0);
        isAccepted &= deployment.submit(job, 0, 0);
        later.add(job);
      }
      if (!isAccepted) {
        return Script.NOT_RUN;
      }
      record.line("end of the traffic");
      return watch(deployment, record, later);
    }
  }

  private static Worker busiest(Deployment deployment, Jobs.Job job) {
    return deployment.workers.stream()
        .filter(worker -> worker.runsTaskOf(job.id()))
        .max((one, other) -> Integer.compare(one.runCount(), other.runCount()))
        .orElseThrow();
  }

  /**
   * From 14 s after the end of the traffic, a job may not stand without a running task for 3 s
   * while under half of the service is in use.
   */
  private static int watch(Deployment deployment, Recorder record, List<Jobs.Job> jobs)
      throws InterruptedException {
    long end = Recorder.nowMillis();
    Map<String, Long> idleSince = new HashMap<>();
    Map<String, String> states = new HashMap<>();
    boolean isBroken = false;
    while (Recorder.nowMillis() - end < WATCH_MILLIS && !isOver(states, jobs)) {
      long now = Recorder.nowMillis();
      int used =
          deployment.workers.stream()
              .filter(worker -> worker.service.equals("checks"))
              .mapToInt(Worker::usedCpu)
              .sum();
      for (Jobs.Job job : jobs) {
        String state = deployment.state(deployment.hosts.get(0), job);
        if (!state.equals(states.put(job.id(), state))) {
          record.line("client: GET %s: %s", job.id(), state);
        }
        boolean isIdle =
            !state.equals("complete")
                && deployment.jobs.openRuns(job.id()).isEmpty()
                && used < 8 * WORKER_CPU / 2;
        if (!isIdle || now - end < FINISH_MILLIS) {
          idleSince.remove(job.id());
        } else if (now - idleSince.computeIfAbsent(job.id(), id -> now) >= IDLE_MILLIS) {
          record.line(
              "LOST: %s is %s, nothing runs for %d ms, %d of %d thousandths of a core in use",
              job.id(), state, now - idleSince.get(job.id()), used, 8 * WORKER_CPU);
          isBroken = true;
          idleSince.remove(job.id());
        }
      }
      Thread.sleep(100);
    }
    return isBroken ? Script.BROKEN : Script.HELD;
  }

  private static boolean isOver(Map<String, String> states, List<Jobs.Job> jobs) {
    return jobs.stream().allMatch(job -> "complete".equals(states.get(job.id())));
  }
}
