package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which ends an owner lets a worker forget. */
class EndAcknowledgementTest {
  private final SchedulerFixture fleet = new SchedulerFixture();
  private final WorkerFacts worker = fleet.addWorker("w1");

  @BeforeEach
  void endARun() {
    fleet.submit("f1", SchedulerFixture.step(1, 500, List.of()));
    fleet.submit("f2", SchedulerFixture.step(1, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.report();
    fleet.endAllRuns(EndCause.DONE, "f1");
    fleet.report();
    fleet.recordProgress();
  }

  private HoldOrder nextHold() {
    fleet.now += 400;
    return fleet.scheduler.dueHolds(Set.of(), fleet.now).get(0);
  }

  /**
   * Guards against ends that a worker forgets before anyone has read them: after a call without an
   * answer, another process may run under the worker's identifier, whose ends have the same
   * numbers.
   */
  @Test
  void noEndIsAcknowledgedBetweenALostCallAndTheNextReport() {
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    assertThat(nextHold().acknowledgedEnd()).isZero();

    fleet.report();
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(1);
  }

  /** Guards against the same, with an order as the call that got no answer. */
  @Test
  void noEndIsAcknowledgedAfterALostOrder() {
    fleet.submit("f3", SchedulerFixture.step(1, 500, List.of()));
    Order start = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(start, CallResult.NOT_SENT, fleet.now);
    assertThat(nextHold().acknowledgedEnd()).isZero();
  }

  /**
   * Guards against ends that a worker forgets before anyone has read them: an idle worker is not
   * polled, so it may start again under its identifier without a call that fails.
   */
  @Test
  void endThatTheWorkerHasForgottenIsNotAcknowledgedAgain() {
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(1);
    fleet.ended.put(worker.id(), new ArrayList<>());
    fleet.report();
    assertThat(nextHold().acknowledgedEnd()).isZero();
  }

  /** Guards against an end that is never acknowledged, should the acknowledgement be lost. */
  @Test
  void endOfAnIdleWorkerIsAcknowledgedAgainAfterALostCall() {
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    fleet.recordProgress();
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(2);
    fleet.scheduler.holdFailed(worker, CallResult.UNKNOWN, fleet.now);
    assertThat(nextHold().acknowledgedEnd()).isZero();
    fleet.report();
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(2);
    fleet.ended.put(worker.id(), new ArrayList<>());
    fleet.report();
    fleet.now += 1_000;
    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now)).isEmpty();
  }

  /**
   * Guards against a task that starts again after it has ended: the entry of its live worker
   * lapses, and the record of the worker is removed before the end is recorded. A later owner would
   * then not know that the worker lists an end.
   */
  @Test
  void workerIsKnownToLaterOwnersUntilItsEndsAreRecorded() {
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    fleet.scheduler.workersListed(List.of(), fleet.now);
    fleet.decide();
    assertThat(fleet.scheduler.takeLeaseHolders().records()).isEmpty();

    fleet.recordProgress();
    fleet.decide();
    assertThat(fleet.scheduler.takeLeaseHolders().records()).hasSize(1);
  }

  /**
   * Guards against an end that is overlooked and acknowledged, so that its task runs twice: the
   * worker lists its ends in another order than that of their numbers.
   */
  @Test
  void endsAreReadInAnyOrder() {
    fleet.endAllRuns(EndCause.DONE);
    Collections.reverse(fleet.ended.get(worker.id()));
    fleet.submit("f3", SchedulerFixture.step(2, 500, List.of()));
    fleet.report();
    fleet.decideAndExecute();
    fleet.report();
    fleet.endAllRuns(EndCause.DONE, "f3");
    Collections.reverse(fleet.ended.get(worker.id()));
    fleet.report();

    assertThat(fleet.decide()).isEmpty();
  }

  /**
   * Guards against a task that starts again under the next owner: its end was acknowledged although
   * the store refuses the record of its workflow for good.
   */
  @Test
  void endWhoseRecordIsRefusedForGoodIsNotAcknowledged() {
    fleet.endAllRuns(EndCause.DONE);
    fleet.report();
    ProgressBatch batch = fleet.recordProgress();
    fleet.scheduler.progressRejected(Set.of("p.f2.0"));
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(1);

    fleet.scheduler.progressRecorded(batch);
    assertThat(nextHold().acknowledgedEnd()).isEqualTo(2);
  }

  /**
   * Guards against a worker that is polled without a pause for good: it answers at once while it
   * lists an end, and an end whose record is refused for good is not acknowledged.
   */
  @Test
  void workerWithAnEndThatIsKeptIsNotPolledWithoutAPause() {
    fleet.scheduler.progressRejected(Set.of("p.f1.0"));
    fleet.report();
    fleet.now += 100;
    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now)).isEmpty();

    fleet.now += 300;
    assertThat(fleet.scheduler.dueHolds(Set.of(), fleet.now))
        .extracting(HoldOrder::acknowledgedEnd)
        .containsExactly(0L);
  }
}
