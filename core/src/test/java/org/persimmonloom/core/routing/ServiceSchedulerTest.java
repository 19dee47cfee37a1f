package org.persimmonloom.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonloom.core.result.ResultCode;

class ServiceSchedulerTest {
  private static final long SHORT_LIMIT = 1_000;
  private static final int QUEUE_LIMIT = 5_000;

  private final Map<Long, PendingRequest> requests = new HashMap<>();
  private final List<RoutingEndpoint> endpoints = new ArrayList<>();
  private ServiceScheduler scheduler;
  private long lastId;

  /**
   * Creates a scheduler for each test and for each try, because jqwik runs all tries of a property
   * on one test instance.
   */
  @BeforeEach
  @BeforeTry
  void createScheduler() {
    scheduler = new ServiceScheduler(new RoutingLimits("scan", QUEUE_LIMIT, SHORT_LIMIT));
    requests.clear();
    lastId = 0;
  }

  /** Guards against queueing requests that can't be answered in time. */
  @ParameterizedTest
  @CsvSource({
    // endpoints, learned run ms, queued before, deadline ms, result
    "0, 0, 0, 5000, NO_ENDPOINT",
    "1, 0, 5000, 5000, QUEUE_FULL",
    "1, 400, 0, 300, DEADLINE_UNREACHABLE",
    "1, 100, 60, 1000, DEADLINE_UNREACHABLE",
    "1, 100, 10, 1000, OK",
  })
  void refusesRequestsThatCannotBeServedInTime(
      int endpoints, long runMillis, int queued, long deadline, ResultCode code) {
    setUpEndpoints(endpoints, 4);
    if (runMillis > 0) {
      completeRuns("GET /scan/a", runMillis, 10);
    }
    for (int i = 0; i < queued; i++) {
      scheduler.offer(request("GET /scan/a", null, deadline, Set.of()), 0);
    }
    var result = scheduler.offer(request("GET /scan/a", null, deadline, Set.of()), 0);
    assertThat(result.isRight() ? ResultCode.OK : result.getLeft().code()).isEqualTo(code);
  }

  /** Guards against refusing a route forever after it was slow once. */
  @Test
  void staleRunTimeAdmitsOneProbe() {
    setUpEndpoints(1, 4);
    completeRuns("GET /scan/a", 900, 10);
    long later = RunTimeEstimates.STALE_MILLIS + 1;
    assertThat(
            scheduler.offer(request("GET /scan/a", null, later + 100, Set.of()), later).isRight())
        .isTrue();
    assertThat(
            scheduler.offer(request("GET /scan/a", null, later + 100, Set.of()), later).isRight())
        .isFalse();
  }

  /**
   * Guards against a wrong hint that keeps long requests in the short class for good, and the
   * reverse.
   */
  @ParameterizedTest
  @CsvSource({"SHORT, 4000, LONG", "LONG, 20, SHORT"})
  void learnedRunTimesOverrideHints(WorkClass hint, long runMillis, WorkClass learned) {
    setUpEndpoints(1, 4);
    assertThat(scheduler.offer(request("GET /scan/a", hint, 9_000, Set.of()), 0).get())
        .isEqualTo(hint);
    completeAll(scheduler.assign(0), runMillis, 0);
    assertThat(scheduler.offer(request("GET /scan/a", hint, 9_000, Set.of()), 0).get())
        .isEqualTo(learned);
  }

  /** Guards against estimates that grow without bound when callers vary their paths. */
  @Test
  void numberOfLearnedRoutesIsBounded() {
    RunTimeEstimates estimates = new RunTimeEstimates(SHORT_LIMIT);
    for (int i = 0; i < 10 * RunTimeEstimates.MAX_ROUTES; i++) {
      estimates.learn("GET /scan/" + i, 10, 0);
    }
    assertThat(estimates.size()).isEqualTo(RunTimeEstimates.MAX_ROUTES);
  }

  /** Guards against long work that gets more than half of the slots, or none at all. */
  @ParameterizedTest
  @CsvSource({"1, 1", "2, 1", "3, 1", "8, 4"})
  void longWorkGetsAtLeastOneAndAtMostHalfOfTheSlots(int slots, int expected) {
    setUpEndpoints(1, slots);
    for (int i = 0; i < 20; i++) {
      scheduler.offer(request("POST /scan/audit", WorkClass.LONG, 600_000, Set.of()), 0);
    }
    assertThat(scheduler.assign(0)).hasSize(expected);
    for (int i = 0; i < 20; i++) {
      scheduler.offer(request("GET /scan/a", WorkClass.SHORT, 5_000, Set.of()), 0);
    }
    assertThat(scheduler.assign(0)).hasSize(slots - expected);
  }

  /**
   * Guards against long requests with a short hint and no learned run time that occupy every slot.
   */
  @Test
  void overrunningShortWorkCountsAsLong() {
    setUpEndpoints(1, 4);
    for (int i = 0; i < 3; i++) {
      scheduler.offer(request("POST /scan/audit", WorkClass.SHORT, 600_000, Set.of()), 0);
    }
    assertThat(scheduler.assign(0)).hasSize(3);
    scheduler.offer(request("POST /scan/other", WorkClass.LONG, 600_000, Set.of()), 0);
    assertThat(scheduler.assign(SHORT_LIMIT + 1)).isEmpty();
    scheduler.offer(request("GET /scan/a", WorkClass.SHORT, 600_000, Set.of()), 0);
    assertThat(scheduler.assign(SHORT_LIMIT + 1)).hasSize(1);
  }

  /** Guards against starvation of long work, and of short work on a single slot. */
  @ParameterizedTest
  @CsvSource({"1", "2", "8"})
  void neitherClassStarvesUnderConstantOverload(int slots) {
    setUpEndpoints(1, slots);
    Map<WorkClass, Integer> finished = new HashMap<>();
    List<Assignment> running = new ArrayList<>();
    Map<Long, Long> endMillis = new HashMap<>();
    for (long now = 0; now < 200_000; now += 50) {
      for (int i = 0; i < slots + 1; i++) {
        scheduler.offer(request("GET /scan/a", WorkClass.SHORT, now + 5_000, Set.of()), now);
      }
      if (now % 1_000 == 0) {
        scheduler.offer(request("POST /scan/x", WorkClass.LONG, now + 60_000, Set.of()), now);
      }
      long time = now;
      for (Assignment done : List.copyOf(running)) {
        if (endMillis.get(done.requestId()) <= now) {
          running.remove(done);
          long run = done.workClass() == WorkClass.LONG ? 2_000 : 50;
          scheduler.complete(done, AttemptResult.SUCCEEDED, run, now);
          finished.merge(done.workClass(), 1, Integer::sum);
        }
      }
      scheduler.expire(now);
      for (Assignment started : scheduler.assign(now)) {
        running.add(started);
        endMillis.put(
            started.requestId(), time + (started.workClass() == WorkClass.LONG ? 2_000 : 50));
      }
    }
    // An alternating slot gives each class 100 s: 50 long runs, 2,000 short ones.
    assertThat(finished.get(WorkClass.LONG)).isGreaterThanOrEqualTo(45);
    assertThat(finished.get(WorkClass.SHORT)).isGreaterThanOrEqualTo(1_800);
  }

  /** Guards against any order other than earliest deadline first within a class. */
  @Property(seed = "21", tries = 100)
  void servesEarliestDeadlineFirst(@ForAll Random random) {
    setUpEndpoints(1, 1);
    long[] deadlines = random.longs(50, 1_000, 100_000).toArray();
    for (long deadline : deadlines) {
      scheduler.offer(request("GET /scan/" + deadline, null, deadline, Set.of()), 0);
    }
    List<Long> served = new ArrayList<>();
    for (int i = 0; i < deadlines.length; i++) {
      List<Assignment> assigned = scheduler.assign(0);
      assertThat(assigned).hasSize(1);
      served.add(requests.get(assigned.get(0).requestId()).deadlineMillis());
      scheduler.complete(assigned.get(0), AttemptResult.CANCELLED, 0, 0);
    }
    assertThat(served)
        .containsExactlyElementsOf(Arrays.stream(deadlines).sorted().boxed().toList());
  }

  /**
   * Guards against cancelled or overdue requests that still get a slot or are still counted in the
   * load.
   */
  @Test
  void cancelledAndOverdueRequestsAreRemovedAtOnce() {
    setUpEndpoints(1, 1);
    for (int i = 0; i < 4_000; i++) {
      scheduler.offer(request("GET /scan/a", null, i < 3_000 ? 60_000 : 500, Set.of()), 0);
    }
    for (long id = 1; id <= 3_000; id++) {
      assertThat(scheduler.cancel(id)).isTrue();
      assertThat(scheduler.cancel(id)).isFalse();
    }
    assertThat(scheduler.load()).isEqualTo(new ServiceLoad(1_000, 0));
    assertThat(scheduler.assign(501)).isEmpty();
    assertThat(scheduler.cancel(4_000)).isTrue();
    assertThat(scheduler.expire(501)).hasSize(999);
    assertThat(scheduler.load()).isEqualTo(new ServiceLoad(0, 0));
  }

  /** Guards against retries in the failure domain of an earlier attempt. */
  @ParameterizedTest
  @CsvSource({
    // tried endpoints, domains: endpoint-i is in rack i/2 % 2 of data centre i/4
    "0, 4 5 6 7",
    "0 4, 2 3 6 7",
    "0 2 4 6, 1 3 5 7",
    "0 1 2 3 4 5 6 7, 0 1 2 3 4 5 6 7",
  })
  void retryPrefersOtherFailureDomain(String tried, String expected) {
    setUpEndpoints(8, 1);
    scheduler.offer(request("GET /scan/a", null, 5_000, names(tried)), 0);
    List<Assignment> assigned = scheduler.assign(0);
    assertThat(assigned).hasSize(1);
    assertThat(names(expected)).contains(assigned.get(0).endpoint().name());
  }

  /**
   * Guards against a retry in the data centre of an endpoint that failed and has been removed
   * since.
   */
  @Test
  void retryAvoidsDomainOfRemovedEndpoint() {
    setUpEndpoints(8, 1);
    List<RoutingEndpoint> remaining = new ArrayList<>(endpoints);
    remaining.remove(0);
    scheduler.setEndpoints(remaining, 0);
    for (int i = 0; i < 4; i++) {
      scheduler.offer(request("GET /scan/a", null, 5_000, names("0")), 0);
    }
    assertThat(scheduler.assign(0))
        .extracting(assignment -> assignment.endpoint().dataCentre())
        .containsOnly("dc1");
  }

  /**
   * Guards against a request that fails twice because its retry is used to probe an ejected
   * endpoint.
   */
  @Test
  void retryDoesNotProbeEjectedEndpoint() {
    setUpEndpoints(3, 1);
    for (int round = 0; round < EndpointHealth.CONSECUTIVE_FAILURES_TO_EJECT; round++) {
      for (int i = 0; i < 3; i++) {
        scheduler.offer(request("GET /scan/a", null, 60_000, Set.of()), 0);
      }
      for (Assignment assignment : scheduler.assign(0)) {
        boolean isFailing = assignment.endpoint().name().equals("endpoint-0");
        AttemptResult result = isFailing ? AttemptResult.FAILED : AttemptResult.SUCCEEDED;
        scheduler.complete(assignment, result, 10, 0);
      }
    }
    long probing = EndpointHealth.FIRST_EJECTION_MILLIS;
    for (int i = 0; i < 6; i++) {
      scheduler.offer(request("GET /scan/a", null, 60_000, names("2")), probing);
      Assignment retry = scheduler.assign(probing).get(0);
      assertThat(retry.endpoint().name()).isEqualTo("endpoint-1");
      scheduler.complete(retry, AttemptResult.CANCELLED, 0, probing);
    }
  }

  /**
   * Guards against more requests in progress at an endpoint than its share, in any order of calls.
   */
  @Property(seed = "22", tries = 200)
  void inProgressStaysWithinShares(@ForAll Random random) {
    setUpEndpoints(6, 2);
    Map<String, Integer> shares = new HashMap<>();
    List<Assignment> running = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      long now = step * 10L;
      scheduler.offer(request("GET /scan/a", null, now + 5_000, Set.of()), now);
      if (random.nextInt(10) == 0) {
        for (int i = 0; i < 6; i++) {
          shares.put("endpoint-" + i, random.nextInt(4));
        }
        scheduler.setSlotShares(shares);
      }
      for (Assignment assignment : scheduler.assign(now)) {
        running.add(assignment);
        String name = assignment.endpoint().name();
        assertThat(scheduler.inProgress(name)).isLessThanOrEqualTo(shares.getOrDefault(name, 2));
      }
      while (!running.isEmpty() && random.nextInt(3) > 0) {
        Assignment done = running.remove(random.nextInt(running.size()));
        scheduler.complete(done, AttemptResult.SUCCEEDED, 10, now);
        scheduler.complete(done, AttemptResult.SUCCEEDED, 10, now);
      }
      assertThat(scheduler.load().inProgress()).isEqualTo(running.size());
    }
  }

  private PendingRequest request(String route, WorkClass hint, long deadline, Set<String> tried) {
    PendingRequest request =
        new PendingRequest(++lastId, route, hint, 0, deadline, tried.size(), tried);
    requests.put(request.id(), request);
    return request;
  }

  private void completeRuns(String route, long runMillis, int times) {
    for (int i = 0; i < times; i++) {
      scheduler.offer(request(route, null, 600_000, Set.of()), 0);
      completeAll(scheduler.assign(0), runMillis, 0);
    }
  }

  private void completeAll(List<Assignment> assignments, long runMillis, long now) {
    assertThat(assignments).isNotEmpty();
    assignments.forEach(
        assignment -> scheduler.complete(assignment, AttemptResult.SUCCEEDED, runMillis, now));
  }

  private void setUpEndpoints(int count, int share) {
    endpoints.clear();
    Map<String, Integer> shares = new HashMap<>();
    for (int i = 0; i < count; i++) {
      String name = "endpoint-" + i;
      endpoints.add(
          new RoutingEndpoint(name, "10.0.0." + i + ":80", "r" + i / 2 % 2, "dc" + i / 4));
      shares.put(name, share);
    }
    scheduler.setEndpoints(endpoints, 0);
    scheduler.setSlotShares(shares);
  }

  private static Set<String> names(String numbers) {
    Set<String> names = new HashSet<>();
    for (String number : numbers.split(" ")) {
      names.add("endpoint-" + number);
    }
    return names;
  }
}
