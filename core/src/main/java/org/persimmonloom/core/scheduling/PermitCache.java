package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * Cached permits of steps whose queue has a placement policy.
 *
 * <p>A step of such a queue starts only on workers that the policy service permits. A permit is
 * valid for one worker process and a limited time. The service always gives the same decision for a
 * step and worker, so a refusal is cached for the lifetime of the worker process. The service
 * handles one request at a time and takes longer for more workers, so each request names only a
 * limited number of workers, those with the most free processor capacity first. Not thread-safe.
 */
final class PermitCache {
  /** Maximum workers per request; the platform's objectives allow for one request of this size. */
  private static final int MAX_WORKERS_PER_REQUEST = 30;

  /** A permit is not used this close to its expiry, so that the start arrives in time, in ms. */
  private static final long EXPIRY_MARGIN_MILLIS = 200;

  /** Delay before the next request after a failed one, in ms. */
  private static final long RETRY_MILLIS = 200;

  private final OccurrenceTable occurrenceTable;
  private final Map<StepId, Map<String, PolicyDecision>> decisions = new HashMap<>();

  /** Steps whose last request failed; the others come first. */
  private final Set<StepId> failedSteps = new HashSet<>();

  private boolean isRequestInFlight;
  private long nextRequestMillis;

  /** The service's decision for a worker; the permit is empty if the worker was refused. */
  private record PolicyDecision(long bornMillis, String permit, long untilMillis) {
    boolean isRefusal() {
      return permit.isEmpty();
    }
  }

  PermitCache(OccurrenceTable occurrenceTable) {
    this.occurrenceTable = occurrenceTable;
  }

  /**
   * Returns the workers on which the step may start now; all of them if its queue has no policy.
   */
  List<WorkerState> permitted(
      OccurrenceState occurrence, int step, List<WorkerState> workers, long nowMillis) {
    if (!requiresPermit(occurrence)) {
      return workers;
    }
    return workers.stream()
        .filter(worker -> !permit(occurrence, step, worker, nowMillis).isEmpty())
        .toList();
  }

  private static boolean requiresPermit(OccurrenceState occurrence) {
    return occurrence.policy.permitValidMillis() > 0;
  }

  /** Returns the valid permit for the step and worker; empty if there is none. */
  String permit(OccurrenceState occurrence, int step, WorkerState worker, long nowMillis) {
    PolicyDecision decision = decision(occurrence, step, worker);
    boolean isValid = decision != null && nowMillis < decision.untilMillis();
    return isValid ? decision.permit() : "";
  }

  private PolicyDecision decision(OccurrenceState occurrence, int step, WorkerState worker) {
    Map<String, PolicyDecision> known = decisions.get(id(occurrence, step));
    PolicyDecision decision = known == null ? null : known.get(worker.facts.id());
    return decision == null || decision.bornMillis() != worker.facts.bornMillis() ? null : decision;
  }

  private static StepId id(OccurrenceState occurrence, int step) {
    return new StepId(occurrence.spec.id(), occurrence.number, step);
  }

  /**
   * Returns the request to send now, if any. Permits are requested for a step with waiting tasks,
   * for workers that have capacity but no current decision. Must follow placement: the tasks that
   * still wait then fit on no permitted worker. A step whose last request failed has its next turn
   * after all others, so that one that always fails does not hold them up.
   *
   * @param occurrences occurrences that may start tasks, most urgent first
   */
  Optional<PermitRequest> nextRequest(
      List<OccurrenceState> occurrences, WorkerTable workers, long nowMillis) {
    if (isRequestInFlight || nowMillis < nextRequestMillis) {
      return Optional.empty();
    }
    decisions.keySet().removeIf(step -> occurrenceTable.occurrence(step) == null);
    failedSteps.removeIf(step -> occurrenceTable.occurrence(step) == null);
    Optional<PermitRequest> request = firstRequest(occurrences, workers, nowMillis);
    if (request.isEmpty() && !failedSteps.isEmpty()) {
      failedSteps.clear();
      request = firstRequest(occurrences, workers, nowMillis);
    }
    isRequestInFlight = request.isPresent();
    return request;
  }

  private Optional<PermitRequest> firstRequest(
      List<OccurrenceState> occurrences, WorkerTable workers, long nowMillis) {
    return occurrences.stream()
        .filter(PermitCache::requiresPermit)
        .flatMap(occurrence -> requests(occurrence, workers, nowMillis))
        .filter(request -> !failedSteps.contains(request.step()))
        .findFirst();
  }

  /** Returns a request for each step with waiting tasks and workers without a current decision. */
  private Stream<PermitRequest> requests(
      OccurrenceState occurrence, WorkerTable workers, long nowMillis) {
    QueuePolicy policy = occurrence.policy;
    List<WorkerState> pool = workers.ofService(policy.service());
    return IntStream.range(0, occurrence.remaining.length)
        .filter(occurrence::isReady)
        .filter(step -> occurrence.waitingTasks(step) > 0)
        .mapToObj(
            step ->
                new PermitRequest(
                    id(occurrence, step),
                    undecidedWorkers(occurrence, step, pool, nowMillis),
                    policy.permitValidMillis()))
        .filter(request -> !request.workers().isEmpty());
  }

  private List<WorkerFacts> undecidedWorkers(
      OccurrenceState occurrence, int step, List<WorkerState> pool, long nowMillis) {
    List<WorkerState> undecidedWorkers = new ArrayList<>();
    for (WorkerState worker : pool) {
      if (Placement.canPlace(worker, occurrence, step, nowMillis)) {
        PolicyDecision decision = decision(occurrence, step, worker);
        boolean isExpired = decision != null && nowMillis >= decision.untilMillis();
        if (decision == null || (isExpired && !decision.isRefusal())) {
          undecidedWorkers.add(worker);
        }
      }
    }
    undecidedWorkers.sort(
        Comparator.comparingInt((WorkerState worker) -> -worker.free.cpuMillis())
            .thenComparing(worker -> worker.facts.id()));
    return undecidedWorkers.stream()
        .limit(MAX_WORKERS_PER_REQUEST)
        .map(worker -> worker.facts)
        .toList();
  }

  /**
   * Applies the response of the service.
   *
   * @param granted permits by worker, without the refused workers; empty if the request failed
   * @param sentMillis when the request was sent
   */
  void permitsAnswered(
      PermitRequest request,
      Optional<Map<String, String>> granted,
      long sentMillis,
      long nowMillis) {
    isRequestInFlight = false;
    if (granted.isEmpty()) {
      nextRequestMillis = nowMillis + RETRY_MILLIS;
      failedSteps.add(request.step());
      return;
    }
    Map<String, PolicyDecision> known =
        decisions.computeIfAbsent(request.step(), step -> new HashMap<>());
    long untilMillis = sentMillis + request.validMillis() - EXPIRY_MARGIN_MILLIS;
    for (WorkerFacts worker : request.workers()) {
      String permit = granted.get().getOrDefault(worker.id(), "");
      known.put(worker.id(), new PolicyDecision(worker.bornMillis(), permit, untilMillis));
    }
  }

  /** Removes a permit that a worker rejected. */
  void permitRejected(StepId step, String worker) {
    Map<String, PolicyDecision> known = decisions.get(step);
    if (known != null) {
      known.remove(worker);
    }
  }
}
