package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients cancel nightly jobs that are planned for a year, while the owner is killed and starts
 * again; others submit jobs before and after.
 */
final class CancelledSeries implements Script.Case {
  private static final int SERIES = 60;
  private static final int OCCURRENCES = 365;
  private static final long INTERVAL_MILLIS = 86_400_000;
  private static final long DELAY_MILLIS = 3_600_000;
  private static final long RESTART_MILLIS = 500;
  private static final int JOBS_BEFORE = 90;
  private static final int JOBS_AFTER = 60;
  private static final int CLIENTS = 8;

  /** The bound {@code finish_s} of both deployments. */
  private static final long FINISH_MILLIS = 14_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, 8, "audits", "checks")) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      long first = System.currentTimeMillis() + DELAY_MILLIS;
      List<Jobs.Job> nightly = new ArrayList<>();
      for (int i = 0; i < SERIES; i++) {
        String id = String.format("%016x", 0xb000L + i);
        Jobs.Job series = new Jobs.Job(id, "audits", 1, 900, 500, OCCURRENCES);
        if (!deployment.submit(series, first, INTERVAL_MILLIS)) {
          return Script.NOT_RUN;
        }
        nightly.add(series);
      }
      Deployment.EntryHost leader = deployment.leader();
      if (!runJobs(deployment, record, 1, JOBS_BEFORE) || leader == null) {
        return Script.NOT_RUN;
      }
      if (hasTrouble) {
        leader.kill();
      }
      if (!cancelAll(deployment, nightly)) {
        return Script.NOT_RUN;
      }
      if (hasTrouble) {
        Thread.sleep(RESTART_MILLIS);
        leader.start();
      }
      Thread.sleep(5_000);
      runJobs(deployment, record, 2, JOBS_AFTER);
      for (Deployment.EntryHost host : deployment.hosts) {
        record.line("%s is alive: %s, ready: %s", host.name, host.isAlive(), host.isReady());
      }
      int listed = deployment.workers.stream().mapToInt(Worker::listedEnds).sum();
      long ends = deployment.jobs.runs().stream().filter(run -> !run.how.equals("open")).count();
      record.line("Acks: %d of %d ends are not taken note of", listed, ends);
      // The rule allows a fifth.
      return 5L * listed > ends ? Script.BROKEN : Script.HELD;
    }
  }

  /** Cancels jobs, several at a time, and returns whether all cancellings are confirmed. */
  private static boolean cancelAll(Deployment deployment, List<Jobs.Job> jobs)
      throws InterruptedException {
    ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    AtomicInteger confirmed = new AtomicInteger();
    for (Jobs.Job job : jobs) {
      clients.submit(() -> deployment.cancel(job) ? confirmed.incrementAndGet() : 0);
    }
    clients.shutdown();
    clients.awaitTermination(20, TimeUnit.SECONDS);
    return confirmed.get() == jobs.size();
  }

  /** Submits jobs and returns whether all are shown as complete in time. */
  private static boolean runJobs(
      Deployment deployment, Recorder record, int round, int count) throws InterruptedException {
    List<Jobs.Job> jobs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      String id = String.format("%016x", 0xc000L + 256 * round + i);
      Jobs.Job job = new Jobs.Job(id, "checks", 6, 880, 540, 0);
      if (!deployment.submit(job, 0, 0)) {
        return false;
      }
      jobs.add(job);
    }
    long until = Recorder.nowMillis() + FINISH_MILLIS;
    Map<String, String> states = new TreeMap<>();
    while (Recorder.nowMillis() < until) {
      for (Jobs.Job job : jobs) {
        String state = deployment.state(deployment.hosts.get(0), job);
        if (!state.equals(states.put(job.id(), state))) {
          record.line("client: GET %s: %s", job.id(), state);
        }
      }
      if (states.values().stream().allMatch("complete"::equals)) {
        return true;
      }
      Thread.sleep(100);
    }
    for (Jobs.Job job : jobs) {
      long done =
          deployment.jobs.runs().stream()
              .filter(run -> run.task.startsWith(job.id() + ".") && run.how.equals("done"))
              .count();
      record.line("%s: %d of %d tasks done, shown as %s", job.id(), done, job.tasks(),
          states.get(job.id()));
    }
    return false;
  }
}
