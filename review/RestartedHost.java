package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry host is killed and starts again. Clients ask it for scheduled jobs, of which only the
 * first occurrence has run, and cancel some of them.
 */
final class RestartedHost implements Script.Case {
  private static final int SMALL_JOBS = 1_900;
  private static final int CLIENTS = 8;
  private static final int ASKED_JOBS = 8;
  private static final int CANCELLED_JOBS = 16;
  private static final int OCCURRENCES = 4;
  private static final long INTERVAL_MILLIS = 40_000;
  private static final long RESTART_MILLIS = 500;
  private static final long ASK_MILLIS = 6_000;
  private static final long CANCEL_GAP_MILLIS = 20;

  /** The bound {@code cancel_ms} of both deployments. */
  private static final long CANCEL_MILLIS = 3_000;

  @Override
  public int run(Recorder record, boolean hasTrouble) throws Exception {
    try (Deployment deployment = new Deployment(record, 3, 8, "audits", "checks")) {
      if (!deployment.awaitReady(30_000)) {
        return Script.NOT_RUN;
      }
      long first = System.currentTimeMillis();
      long firstOnClock = Recorder.nowMillis();
      List<Jobs.Job> scheduled = new ArrayList<>();
      for (int i = 0; i < ASKED_JOBS + CANCELLED_JOBS; i++) {
        String id = String.format("%016x", 0xd1342543de82ef95L * (i + 1));
        Jobs.Job job = new Jobs.Job(id, "audits", 2, 900, 500, OCCURRENCES);
        scheduled.add(job);
        if (!deployment.submit(job, first, INTERVAL_MILLIS)) {
          return Script.NOT_RUN;
        }
      }
      submitSmallJobs(deployment, record);
      Thread.sleep(3_000);
      Deployment.EntryHost host = deployment.hosts.get(0);
      for (Jobs.Job job : scheduled) {
        String state = deployment.state(host, job);
        record.line("client: GET %s at %s: %s", job.id(), host.name, state);
        if (!state.equals("active")) {
          return Script.NOT_RUN;
        }
      }
      if (hasTrouble) {
        host.kill();
        Thread.sleep(RESTART_MILLIS);
        host.start();
      }
      AtomicInteger wrongStates = new AtomicInteger();
      Map<String, Long> cancelled = new ConcurrentHashMap<>();
      ask(deployment, host, scheduled, wrongStates, cancelled);
      long secondDue = firstOnClock + INTERVAL_MILLIS;
      Thread.sleep(Math.max(0, secondDue + CANCEL_MILLIS + 2_000 - Recorder.nowMillis()));
      int lateStarts = lateStarts(deployment, cancelled);
      record.line("MIXED: %d answers said complete", wrongStates.get());
      record.line("UNASKED: %d starts of cancelled jobs", lateStarts);
      return wrongStates.get() + lateStarts > 0 ? Script.BROKEN : Script.HELD;
    }
  }

  private static void submitSmallJobs(Deployment deployment, Recorder record)
      throws InterruptedException {
    ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
    AtomicInteger accepted = new AtomicInteger();
    for (int i = 0; i < SMALL_JOBS; i++) {
      String id = String.format("%016x", 0x9e3779b97f4a7c15L * (i + 1));
      Jobs.Job job = new Jobs.Job(id, "checks", 1, 300, 50, 0);
      clients.submit(() -> deployment.submit(job, 0, 0) ? accepted.incrementAndGet() : 0);
    }
    clients.shutdown();
    clients.awaitTermination(40, TimeUnit.SECONDS);
    record.line("%d small jobs accepted", accepted.get());
  }

  /** Clients ask the host again and again, and cancel jobs once it answers. */
  private static void ask(
      Deployment deployment,
      Deployment.EntryHost host,
      List<Jobs.Job> jobs,
      AtomicInteger wrongStates,
      Map<String, Long> cancelled)
      throws InterruptedException {
    ExecutorService clients = Executors.newFixedThreadPool(jobs.size());
    long until = Recorder.nowMillis() + ASK_MILLIS;
    for (int i = 0; i < jobs.size(); i++) {
      Jobs.Job job = jobs.get(i);
      if (i < ASKED_JOBS) {
        clients.submit(() -> askState(deployment, host, job, until, wrongStates));
      } else {
        long delay = (i - ASKED_JOBS) * CANCEL_GAP_MILLIS;
        clients.submit(() -> cancel(deployment, host, job, until, delay, cancelled));
      }
    }
    clients.shutdown();
    clients.awaitTermination(3 * ASK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private static Void askState(
      Deployment deployment,
      Deployment.EntryHost host,
      Jobs.Job job,
      long until,
      AtomicInteger wrongStates)
      throws InterruptedException {
    String last = "";
    while (Recorder.nowMillis() < until) {
      String state = deployment.state(host, job);
      if (!state.equals(last)) {
        deployment.record.line("client: GET %s at %s: %s", job.id(), host.name, state);
        last = state;
      }
      if (state.equals("complete")) {
        wrongStates.incrementAndGet();
      }
      Thread.sleep(5);
    }
    return null;
  }

  private static Void cancel(
      Deployment deployment,
      Deployment.EntryHost host,
      Jobs.Job job,
      long until,
      long delay,
      Map<String, Long> cancelled)
      throws InterruptedException {
    while (deployment.state(host, job).equals("0") && Recorder.nowMillis() < until) {
      Thread.sleep(5);
    }
    Thread.sleep(delay);
    Deployment.Answer answer = deployment.request(host, "DELETE", job.route(), job.id(), "");
    if (answer.status() == 200) {
      cancelled.put(job.id(), Recorder.nowMillis());
    }
    deployment.record.line("client: DELETE %s at %s: %d", job.id(), host.name, answer.status());
    return null;
  }

  private static int lateStarts(Deployment deployment, Map<String, Long> cancelled) {
    int count = 0;
    for (Jobs.Run run : deployment.jobs.runs()) {
      Long at = cancelled.get(run.task.substring(0, run.task.indexOf('.')));
      if (at != null && run.startMillis > at + CANCEL_MILLIS) {
        deployment.record.line("UNASKED: %s, cancelled at %d ms", run, at);
        count++;
      }
    }
    return count;
  }
}
