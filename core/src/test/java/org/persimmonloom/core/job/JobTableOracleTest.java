package org.persimmonloom.core.job;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.persimmonloom.core.fold.Proposal;

/**
 * Proposes random valid and invalid records and compares each verdict, the jobs and the sums with a
 * reference model. Guards against capacity or quota that is exceeded or leaked, two live attempts
 * of a job, a reused attempt number, and a lost job.
 */
class JobTableOracleTest {
  private static final int WORKERS = 3;

  /** One random record: {@code pick} selects the job, {@code worker} the worker. */
  record Step(Kind kind, int pick, int worker, int cores) {}

  enum Kind {
    SUBMIT,
    PLACE,
    START,
    FINISH,
    FAIL,
    CANCEL,
    STOP,
    EXPIRE,
    REBOOT,
    WAIT
  }

  /** The expected state of a job. */
  private static final class ExpectedJob {
    final JobSpec spec;
    String state = "QUEUED";
    int attempts;
    String worker;
    boolean isCancelled;
    long leaseEndMillis;
    int failures;
    final Set<String> failedOn = new HashSet<>();

    ExpectedJob(JobSpec spec) {
      this.spec = spec;
    }

    void endAttempt(String next) {
      state = next;
      worker = null;
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, 1_000),
            Arbitraries.integers().between(1, WORKERS),
            Arbitraries.integers().between(1, 8))
        .as(Step::new)
        .list()
        .ofSize(200);
  }

  private final JobFixture fixture = new JobFixture(WORKERS);
  private final Map<String, ExpectedJob> expectedJobs = new HashMap<>();
  private final List<String> names = new ArrayList<>();
  private final Map<String, Long> boots = new HashMap<>();
  private final Map<String, Integer> failuresInRow = new HashMap<>();

  @Property(seed = "11", tries = 100)
  void tableMatchesTheReferenceModel(@ForAll("steps") List<Step> steps) {
    for (Step step : steps) {
      if (step.kind() == Kind.SUBMIT || names.isEmpty()) {
        submit(step);
      } else if (step.kind() == Kind.REBOOT) {
        reboot("w" + step.worker());
      } else if (step.kind() == Kind.WAIT) {
        fixture.nowMillis += step.cores() * 60_000L;
      } else {
        change(step, expectedJobs.get(names.get(step.pick() % names.size())));
      }
      checkSums();
    }
  }

  private void submit(Step step) {
    String team = step.pick() % 2 == 0 ? "alpha" : "beta";
    JobSize size = new JobSize(step.cores(), 1_024, step.pick() % 3 == 0 ? 1 : 0);
    if (team.equals("beta")) {
      size = new JobSize(step.cores(), 1_024, 0);
    }
    JobSpec spec = fixture.spec(team, size, false, step.pick() % 5 != 0);
    fixture.nowMillis = Math.max(fixture.nowMillis, JobFixture.START_MILLIS);
    boolean isInWindow =
        fixture.nowMillis - JobFixture.START_MILLIS <= JobTable.SUBMIT_WINDOW_MILLIS;
    assertThat(fixture.propose(new JobSubmitted(spec)).isAccepted()).isEqualTo(isInWindow);
    if (isInWindow) {
      expectedJobs.put(spec.job(), new ExpectedJob(spec));
      names.add(spec.job());
    }
  }

  private void reboot(String worker) {
    long boot = boots.merge(worker, 2L, (previous, unused) -> previous + 1);
    fixture.accept(new WorkerRenewed(worker, boot, fixture.state.nextOffset(), List.of()));
    for (ExpectedJob expected : expectedJobs.values()) {
      if (worker.equals(expected.worker)) {
        expectLoss(expected);
      }
    }
  }

  private static void expectLoss(ExpectedJob expected) {
    if (expected.isCancelled) {
      expected.endAttempt("CANCELLED");
    } else {
      expected.endAttempt(expected.spec.isRepeatable() ? "QUEUED" : "OUTCOME_UNKNOWN");
    }
  }

  private void change(Step step, ExpectedJob expected) {
    String job = expected.spec.job();
    int attempt = Math.max(1, expected.attempts - step.pick() % 7 / 6);
    boolean isLive = expected.worker != null && attempt == expected.attempts;
    switch (step.kind()) {
      case PLACE -> place(step, expected);
      case START -> {
        if (expect(new JobStarted(job, attempt), isLive && isLeased(expected))) {
          expected.state = "RUNNING";
        }
      }
      case FINISH -> {
        String worker = expected.worker;
        if (expect(new JobFinished(job, attempt, 1, 1, 1), isLive)) {
          expected.endAttempt("FINISHED");
          failuresInRow.put(worker, 0);
        }
      }
      case FAIL -> fail(expected, attempt, isLive);
      case CANCEL -> cancel(expected);
      case STOP -> {
        if (expect(new JobStopped(job, attempt), isLive && expected.isCancelled)) {
          expected.endAttempt("CANCELLED");
        }
      }
      default -> {
        long endMillis = expected.leaseEndMillis + LeaseRules.EXPIRY_MARGIN_MILLIS;
        boolean isExpired = isLive && fixture.nowMillis >= endMillis;
        if (expect(new JobLeaseExpired(job, attempt, false), isExpired)) {
          expectLoss(expected);
        }
      }
    }
  }

  private boolean expect(Proposal proposal, boolean isAccepted) {
    assertThat(fixture.propose(proposal).isAccepted())
        .as(proposal.toString())
        .isEqualTo(isAccepted);
    return isAccepted;
  }

  private boolean isLeased(ExpectedJob expected) {
    return fixture.nowMillis < expected.leaseEndMillis;
  }

  private void place(Step step, ExpectedJob expected) {
    String worker = "w" + step.worker();
    JobSize size = expected.spec.size();
    boolean fitsWorker = sum("worker", worker).plus(size).fitsIn(JobFixture.WORKER_SIZE);
    JobSize quota =
        expected.spec.team().equals("alpha")
            ? new JobSize(100, 200_000, 4)
            : new JobSize(8, 200_000, 0);
    boolean fitsQuota = sum("team", expected.spec.team()).plus(size).fitsIn(quota);
    boolean isInTable = fixture.state.jobs().find(expected.spec.job()).isPresent();
    JobPlaced placed =
        new JobPlaced(
            expected.spec.job(), expected.attempts + 1, worker, size, fixture.state.nextOffset());
    if (expect(placed, expected.state.equals("QUEUED") && fitsWorker && fitsQuota && isInTable)) {
      expected.attempts++;
      expected.worker = worker;
      expected.state = "PLACED";
      expected.leaseEndMillis = fixture.nowMillis + LeaseRules.FOLD_LEASE_MILLIS;
    }
  }

  private void fail(ExpectedJob expected, int attempt, boolean isLive) {
    String worker = expected.worker;
    JobFailed failed = new JobFailed(expected.spec.job(), attempt, FailureCause.ERROR, "exit 1");
    if (!expect(failed, isLive)) {
      return;
    }
    expected.failures++;
    if (failuresInRow.getOrDefault(worker, 0) < WorkerRecord.UNHEALTHY_FAILURES) {
      expected.failedOn.add(worker);
    }
    failuresInRow.merge(worker, 1, Integer::sum);
    boolean isParked =
        expected.failedOn.size() == JobEvents.MAX_FAILED_WORKERS
            || expected.failures == JobEvents.MAX_FAILURES;
    if (expected.isCancelled) {
      expected.endAttempt("CANCELLED");
    } else if (!expected.spec.isRepeatable()) {
      expected.endAttempt("FAILED");
    } else {
      expected.endAttempt(isParked ? "PARKED" : "QUEUED");
    }
  }

  private void cancel(ExpectedJob expected) {
    boolean isOpen = Set.of("QUEUED", "PLACED", "RUNNING", "PARKED").contains(expected.state);
    if (expect(
        new JobCancelled(expected.spec.job(), "operator"), isOpen && !expected.isCancelled)) {
      expected.isCancelled = true;
      if (expected.worker == null) {
        expected.endAttempt("CANCELLED");
      }
    }
  }

  private JobSize sum(String by, String name) {
    JobSize sum = JobSize.NONE;
    for (ExpectedJob expected : expectedJobs.values()) {
      String value = by.equals("team") ? expected.spec.team() : expected.worker;
      if (expected.worker != null && value.equals(name)) {
        sum = sum.plus(expected.spec.size());
      }
    }
    return sum;
  }

  private void checkSums() {
    JobTable table = fixture.state.jobs();
    for (int i = 1; i <= WORKERS; i++) {
      JobSize used = sum("worker", "w" + i);
      assertThat(table.usedByWorker("w" + i)).isEqualTo(used);
      assertThat(used.fitsIn(JobFixture.WORKER_SIZE)).isTrue();
    }
    assertThat(table.usedByTeam("alpha")).isEqualTo(sum("team", "alpha"));
    assertThat(table.usedByTeam("beta")).isEqualTo(sum("team", "beta"));
    for (ExpectedJob expected : expectedJobs.values()) {
      boolean isEnded = JobState.valueOf(expected.state).isEnded();
      var job = table.find(expected.spec.job());
      assertThat(job.isPresent() || isEnded).isTrue();
      job.ifPresent(
          actual -> {
            assertThat(actual.state().toString()).isEqualTo(expected.state);
            assertThat(actual.history().attempts()).isEqualTo(expected.attempts);
            assertThat(actual.live() == null).isEqualTo(expected.worker == null);
          });
    }
  }
}
