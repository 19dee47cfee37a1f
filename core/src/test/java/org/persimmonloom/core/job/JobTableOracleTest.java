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
 * Proposes random records, right and wrong ones, and compares each verdict and the sums with plain
 * maps. Guards against capacity or quota that is exceeded or leaked, two live attempts of a job, a
 * reused attempt number, and a lost job.
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

  /** What the oracle knows of a job. */
  private static final class Model {
    final JobSpec spec;
    String state = "QUEUED";
    int attempts;
    String worker;
    boolean isCancelled;
    long leaseEndMillis;
    int failures;
    final Set<String> failedOn = new HashSet<>();

    Model(JobSpec spec) {
      this.spec = spec;
    }

    void detach(String next) {
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
  private final Map<String, Model> models = new HashMap<>();
  private final List<String> names = new ArrayList<>();
  private final Map<String, Long> boots = new HashMap<>();
  private final Map<String, Integer> failuresInRow = new HashMap<>();

  @Property(seed = "11", tries = 100)
  void tableAgreesWithPlainMaps(@ForAll("steps") List<Step> steps) {
    for (Step step : steps) {
      if (step.kind() == Kind.SUBMIT || names.isEmpty()) {
        submit(step);
      } else if (step.kind() == Kind.REBOOT) {
        reboot("w" + step.worker());
      } else if (step.kind() == Kind.WAIT) {
        fixture.nowMillis += step.cores() * 60_000L;
      } else {
        change(step, models.get(names.get(step.pick() % names.size())));
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
      models.put(spec.job(), new Model(spec));
      names.add(spec.job());
    }
  }

  private void reboot(String worker) {
    long boot = boots.merge(worker, 2L, (former, unused) -> former + 1);
    fixture.accept(new WorkerRenewed(worker, boot, fixture.state.nextOffset(), List.of()));
    for (Model model : models.values()) {
      if (worker.equals(model.worker)) {
        lose(model);
      }
    }
  }

  private static void lose(Model model) {
    if (model.isCancelled) {
      model.detach("CANCELLED");
    } else {
      model.detach(model.spec.isRepeatable() ? "QUEUED" : "OUTCOME_UNKNOWN");
    }
  }

  private void change(Step step, Model model) {
    String job = model.spec.job();
    int attempt = Math.max(1, model.attempts - step.pick() % 7 / 6);
    boolean isLive = model.worker != null && attempt == model.attempts;
    switch (step.kind()) {
      case PLACE -> place(step, model);
      case START -> {
        if (expect(new JobStarted(job, attempt), isLive && isLeased(model))) {
          model.state = "RUNNING";
        }
      }
      case FINISH -> {
        String worker = model.worker;
        if (expect(new JobFinished(job, attempt, 1, 1, 1), isLive)) {
          model.detach("FINISHED");
          failuresInRow.put(worker, 0);
        }
      }
      case FAIL -> fail(model, attempt, isLive);
      case CANCEL -> cancel(model);
      case STOP -> {
        if (expect(new JobStopped(job, attempt), isLive && model.isCancelled)) {
          model.detach("CANCELLED");
        }
      }
      default -> {
        long endMillis = model.leaseEndMillis + LeaseRules.EXPIRY_MARGIN_MILLIS;
        boolean isOver = isLive && fixture.nowMillis >= endMillis;
        if (expect(new JobLeaseExpired(job, attempt, false), isOver)) {
          lose(model);
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

  private boolean isLeased(Model model) {
    return fixture.nowMillis < model.leaseEndMillis;
  }

  private void place(Step step, Model model) {
    String worker = "w" + step.worker();
    JobSize size = model.spec.size();
    boolean isRoom = sum("worker", worker).plus(size).fitsIn(JobFixture.WORKER_SIZE);
    JobSize quota =
        model.spec.team().equals("alpha")
            ? new JobSize(100, 200_000, 4)
            : new JobSize(8, 200_000, 0);
    boolean isQuota = sum("team", model.spec.team()).plus(size).fitsIn(quota);
    boolean isKept = fixture.state.jobs().find(model.spec.job()).isPresent();
    JobPlaced placed =
        new JobPlaced(
            model.spec.job(), model.attempts + 1, worker, size, fixture.state.nextOffset());
    if (expect(placed, model.state.equals("QUEUED") && isRoom && isQuota && isKept)) {
      model.attempts++;
      model.worker = worker;
      model.state = "PLACED";
      model.leaseEndMillis = fixture.nowMillis + LeaseRules.FOLD_LEASE_MILLIS;
    }
  }

  private void fail(Model model, int attempt, boolean isLive) {
    String worker = model.worker;
    JobFailed failed = new JobFailed(model.spec.job(), attempt, FailureCause.ERROR, "exit 1");
    if (!expect(failed, isLive)) {
      return;
    }
    model.failures++;
    if (failuresInRow.getOrDefault(worker, 0) < WorkerRecord.UNHEALTHY_FAILURES) {
      model.failedOn.add(worker);
    }
    failuresInRow.merge(worker, 1, Integer::sum);
    boolean isParked =
        model.failedOn.size() == JobEvents.MAX_FAILED_WORKERS
            || model.failures == JobEvents.MAX_FAILURES;
    if (model.isCancelled) {
      model.detach("CANCELLED");
    } else if (!model.spec.isRepeatable()) {
      model.detach("FAILED");
    } else {
      model.detach(isParked ? "PARKED" : "QUEUED");
    }
  }

  private void cancel(Model model) {
    boolean isOpen = Set.of("QUEUED", "PLACED", "RUNNING", "PARKED").contains(model.state);
    if (expect(new JobCancelled(model.spec.job(), "operator"), isOpen && !model.isCancelled)) {
      model.isCancelled = true;
      if (model.worker == null) {
        model.detach("CANCELLED");
      }
    }
  }

  private JobSize sum(String by, String name) {
    JobSize sum = JobSize.NONE;
    for (Model model : models.values()) {
      String value = by.equals("team") ? model.spec.team() : model.worker;
      if (model.worker != null && value.equals(name)) {
        sum = sum.plus(model.spec.size());
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
    for (Model model : models.values()) {
      boolean isEnded = JobState.valueOf(model.state).isEnded();
      var job = table.find(model.spec.job());
      assertThat(job.isPresent() || isEnded).isTrue();
      job.ifPresent(
          it -> {
            assertThat(it.state().toString()).isEqualTo(model.state);
            assertThat(it.history().attempts()).isEqualTo(model.attempts);
            assertThat(it.live() == null).isEqualTo(model.worker == null);
          });
    }
  }
}
