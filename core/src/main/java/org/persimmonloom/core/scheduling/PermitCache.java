package org.persimmonloom.core.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.persimmonloom.core.workflow.QueuePolicy;

/**
 * The permits of steps whose queue has a placement policy.
 *
 * <p>A step of such a queue starts only on workers that the policy service permits, each with a
 * permit that is valid for one life of the worker and a limited time. The service judges a step's
 * worker the same each time, so that a refused worker is not asked for again. It takes one request
 * at a time and longer for more workers, so only a few are asked for at once, those with the most
 * room first. Not thread-safe.
 */
final class PermitCache {
  /** Workers in one request; the platform's objectives allow for one request of this size. */
  private static final int MAX_WORKERS_ASKED = 30;

  /** A start must arrive while its permit is valid, in ms. */
  private static final long MARGIN_MILLIS = 200;

  /** After an unanswered request the service is asked again after this time, in ms. */
  private static final long RETRY_MILLIS = 200;

  private final OccurrenceTable occurrenceTable;
  private final Map<StepId, Map<String, PolicyDecision>> decisions = new HashMap<>();
  private boolean isRequestInFlight;
  private long nextRequestMillis;

  /** What the service said of a worker; the permit is empty for a worker that is refused. */
  private record PolicyDecision(long bornMillis, String permit, long untilMillis) {
    boolean isRefusal() {
      return permit.isEmpty();
    }
  }

  PermitCache(OccurrenceTable occurrenceTable) {
    this.occurrenceTable = occurrenceTable;
  }

  /** Returns the workers on which the step may start now; all if its queue has no policy. */
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

  /** Returns the permit with which the step may start on the worker now; empty if there is none. */
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
   * Returns the request to send now, if any. A step is asked for when its tasks wait and no
   * permitted worker has room.
   *
   * @param occurrences occurrences that may start tasks, the most urgent first
   */
  Optional<PermitRequest> nextRequest(
      List<OccurrenceState> occurrences, WorkerTable workers, long nowMillis) {
    if (isRequestInFlight || nowMillis < nextRequestMillis) {
      return Optional.empty();
    }
    decisions.keySet().removeIf(step -> occurrenceTable.occurrence(step) == null);
    Optional<PermitRequest> request =
        occurrences.stream()
            .filter(PermitCache::requiresPermit)
            .flatMap(occurrence -> requests(occurrence, workers, nowMillis))
            .findFirst();
    isRequestInFlight = request.isPresent();
    return request;
  }

  /** Returns a request for each waiting step that has workers to ask for, in their order. */
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
                    workersToAsk(occurrence, step, pool, nowMillis),
                    policy.permitValidMillis()))
        .filter(request -> !request.workers().isEmpty());
  }

  private List<WorkerFacts> workersToAsk(
      OccurrenceState occurrence, int step, List<WorkerState> pool, long nowMillis) {
    List<WorkerState> workersToAsk = new ArrayList<>();
    for (WorkerState worker : pool) {
      if (Placement.canPlace(worker, occurrence, step, nowMillis)) {
        PolicyDecision decision = decision(occurrence, step, worker);
        boolean isExpired = decision != null && nowMillis >= decision.untilMillis();
        if (decision == null || (isExpired && !decision.isRefusal())) {
          workersToAsk.add(worker);
        }
      }
    }
    workersToAsk.sort(
        Comparator.comparingInt((WorkerState worker) -> -worker.free.cpuMillis())
            .thenComparing(worker -> worker.facts.id()));
    return workersToAsk.stream().limit(MAX_WORKERS_ASKED).map(worker -> worker.facts).toList();
  }

  /**
   * Takes over the service's answer.
   *
   * @param granted permits by worker, without the workers that are refused; empty if the service
   *     did not answer
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
      return;
    }
    Map<String, PolicyDecision> known =
        decisions.computeIfAbsent(request.step(), step -> new HashMap<>());
    long until = sentMillis + request.validMillis() - MARGIN_MILLIS;
    for (WorkerFacts worker : request.workers()) {
      String permit = granted.get().getOrDefault(worker.id(), "");
      known.put(worker.id(), new PolicyDecision(worker.bornMillis(), permit, until));
    }
  }

  /** Forgets a permit that a worker did not accept. */
  void permitRejected(StepId step, String worker) {
    Map<String, PolicyDecision> known = decisions.get(step);
    if (known != null) {
      known.remove(worker);
    }
  }
}
