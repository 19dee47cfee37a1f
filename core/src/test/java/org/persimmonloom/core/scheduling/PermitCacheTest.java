package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.StepSpec;

/** Placement of steps whose queue has a placement policy. */
class PermitCacheTest {
  private static final StepSpec ONE_TASK = SchedulerFixture.step(1, 500, List.of());

  private final SchedulerFixture fleet = new SchedulerFixture();

  @BeforeEach
  void submit() {
    fleet.addWorker("w1");
    fleet.addWorker("w2");
    fleet.submit("f1", SchedulerFixture.PERMIT_POLICY, ONE_TASK);
    fleet.report();
  }

  private PermitRequest request() {
    return fleet.scheduler.nextPermitRequest(fleet.now).orElseThrow();
  }

  private void answer(PermitRequest request, Map<String, String> permits) {
    fleet.scheduler.permitsAnswered(request, Optional.of(permits), fleet.now, fleet.now);
  }

  /** Guards against starts without a permit, which workers reject. */
  @Test
  void stepStartsOnlyWhereItIsPermitted() {
    assertThat(fleet.decideAndExecute()).isEmpty();
    PermitRequest request = request();
    assertThat(request.step()).hasToString("f1.0.0");
    assertThat(request.workers()).extracting(WorkerFacts::id).containsExactly("w1", "w2");
    answer(request, Map.of("w2", "permit-2"));
    Order.Start start = (Order.Start) fleet.decideAndExecute().get(0);
    assertThat(start.worker().id()).isEqualTo("w2");
    assertThat(start.permit()).isEqualTo("permit-2");
  }

  /** Guards against concurrent requests, and repeated requests for a refused worker. */
  @Test
  void undecidedWorkersAreRequestedOneRequestAtATime() {
    fleet.decideAndExecute();
    PermitRequest request = request();
    assertThat(fleet.scheduler.nextPermitRequest(fleet.now)).isEmpty();
    answer(request, Map.of());
    fleet.addWorker("w3");
    fleet.report();
    fleet.decideAndExecute();
    assertThat(request().workers()).extracting(WorkerFacts::id).containsExactly("w3");
  }

  /** Guards against a step that waits forever because the response to a request was lost. */
  @Test
  void unansweredRequestIsRepeated() {
    fleet.decideAndExecute();
    PermitRequest request = request();
    fleet.scheduler.permitsAnswered(request, Optional.empty(), fleet.now, fleet.now);
    assertThat(fleet.scheduler.nextPermitRequest(fleet.now)).isEmpty();
    fleet.now += 300;
    assertThat(request().workers()).hasSize(2);
  }

  /** Guards against a step whose requests always fail and that holds up the others for good. */
  @Test
  void stepWhoseRequestFailsGivesWayToOthers() {
    fleet.submit("f2", SchedulerFixture.PERMIT_POLICY, ONE_TASK);
    for (String next : List.of("f1", "f2", "f1", "f2")) {
      fleet.decideAndExecute();
      PermitRequest request = request();
      assertThat(request.step()).hasToString(next + ".0.0");
      fleet.scheduler.permitsAnswered(request, Optional.empty(), fleet.now, fleet.now);
      fleet.now += 300;
    }
  }

  /** Guards against starts with a permit that has expired or that the worker has rejected. */
  @Test
  void expiredAndRejectedPermitsAreRenewed() {
    fleet.decideAndExecute();
    answer(request(), Map.of("w1", "old", "w2", "old"));
    fleet.now += SchedulerFixture.PERMIT_POLICY.permitValidMillis();
    fleet.report();
    assertThat(fleet.decideAndExecute()).isEmpty();
    answer(request(), Map.of("w1", "new"));
    Order start = fleet.decide().get(0);
    fleet.scheduler.orderAnswered(start, CallResult.PERMISSION_EXPIRED, fleet.now);
    fleet.report();
    assertThat(fleet.decide()).isEmpty();
    assertThat(request().workers()).extracting(WorkerFacts::id).containsExactly("w1");
  }
}
