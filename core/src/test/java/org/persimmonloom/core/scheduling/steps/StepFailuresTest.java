package org.persimmonloom.core.scheduling.steps;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.steps.StepFault.Kind;

/** Plans that broke a rule when {@link StepSearchTest} found them, with the faults they need. */
class StepFailuresTest {
  private static void assertNoViolation(
      long seed, int hosts, int workers, int pageSize, StepFault... faults) {
    StepPlan plan = new StepPlan(seed, hosts, workers, pageSize, List.of(faults));
    assertThat(StepSearch.violations(plan)).isEmpty();
  }

  private static StepFault ofOwner(long at, Kind kind, long duration) {
    return new StepFault(at, kind, StepFault.OWNER, 0, duration);
  }

  /**
   * Guards against a task that starts again after its end: an outdated list names the earlier
   * worker of a host, whose present worker is cut off for 1.5 s.
   */
  @Test
  void outdatedListBesideACutEndsNoRuns() {
    assertNoViolation(
        3210,
        3,
        4,
        500,
        new StepFault(4_770, Kind.WORKER_REPLACED, 0, 0, 5_740),
        new StepFault(5_668, Kind.LIST_STALE, 1, 0, 9_598),
        new StepFault(9_512, Kind.LINK_CUT, StepFault.ALL, 0, 1_502));
  }

  /**
   * Guards against a task that starts again after its end: an idle owner that gets no answers of
   * the store has been followed by another one, and the worker that it chooses has started again,
   * so that it has seen no fence.
   */
  @Test
  void ownerThatCannotRenewStartsNothingOnARestartedWorker() {
    assertNoViolation(
        8999,
        4,
        4,
        500,
        ofOwner(1_419, Kind.STORE_ANSWERS_LOST, 8_825),
        new StepFault(4_892, Kind.HOST_CUT_FROM_STORE, 2, 0, 1_944),
        new StepFault(5_102, Kind.WORKER_RESTARTED, 0, 0, 1_204),
        ofOwner(5_269, Kind.FREEZE_IN_PASS, 10_398));
  }

  /**
   * Guards against a task that starts again after its end: an owner that stood still for 4.9 s goes
   * on beside a silent store, and takes a lease for over that the next owner has extended.
   */
  @Test
  void ownerThatStoodStillBesideASilentStoreStartsNothingAgain() {
    assertNoViolation(
        4349,
        4,
        4,
        500,
        ofOwner(7_773, Kind.FREEZE_IN_PASS, 8_416),
        ofOwner(14_870, Kind.FREEZE_IN_PASS, 4_896),
        new StepFault(17_639, Kind.STORE_DOWN, 2, 0, 4_413),
        new StepFault(18_479, Kind.WORKER_RESTARTED, 3, 0, 3_964));
  }
}
