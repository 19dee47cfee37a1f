package org.persimmonloom.core.routing;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Schedules the requests of one service at one entry host, within this host's shares of the
 * endpoint slots.
 *
 * <p>Each class of work has a queue ordered by deadline. A request is refused at once if the
 * learned run time plus the expected wait exceeds the time until its deadline, so that its caller
 * can react to "not run" while there is still time. Requests stay queued until {@link
 * #setSlotShares} is called.
 *
 * <p>Not thread-safe: confined to one thread or guarded by the owner's lock. All times are in
 * milliseconds since the epoch.
 */
public final class ServiceScheduler implements RequestScheduler {
  /**
   * Maximum number of requests examined in a search for one that fits the free slots. Only a retry
   * can fail to fit where other requests do, and about a tenth of the requests are retries.
   */
  private static final int MAX_EXAMINED_REQUESTS = 16;

  private final Map<WorkClass, DeadlineQueue> queues = new EnumMap<>(WorkClass.class);
  private final Map<Long, PendingRequest> overdue = new LinkedHashMap<>();
  private final RetryBudget retryBudget = new RetryBudget();
  private final SlotUse slotUse = new SlotUse();
  private final EndpointSet endpoints = new EndpointSet();
  private final WorkClassPolicy classPolicy = new WorkClassPolicy();
  private final RunTimeEstimates runTimes;
  private RoutingLimits limits;

  /** Creates a scheduler without endpoints and slots. */
  public ServiceScheduler(RoutingLimits limits) {
    this.limits = limits;
    this.runTimes = new RunTimeEstimates(limits.shortLimitMillis());
    for (WorkClass workClass : WorkClass.values()) {
      queues.put(workClass, new DeadlineQueue());
    }
  }

  /** Replaces the limits when the definition of the service changes; queued requests stay. */
  public void setLimits(RoutingLimits newLimits) {
    limits = newLimits;
    runTimes.setShortLimitMillis(newLimits.shortLimitMillis());
  }

  @Override
  public Either<Failure, WorkClass> offer(PendingRequest request, long nowMillis) {
    if (contains(request.id())) {
      return Either.left(
          Failure.of(ResultCode.INTERNAL, "request " + request.id() + " is already scheduled"));
    }
    if (request.attempt() == 0) {
      retryBudget.recordRequest();
    }
    if (endpoints.isEmpty()) {
      return Either.left(Failure.of(ResultCode.NO_ENDPOINT, limits.service()));
    }
    if (queuedCount() >= limits.queueLimit()) {
      return Either.left(Failure.of(ResultCode.QUEUE_FULL, limits.service(), limits.queueLimit()));
    }
    WorkClass workClass = runTimes.classOf(request.route(), request.hint());
    double runMillis = runTimes.typicalMillis(request.route(), nowMillis);
    double waitMillis = expectedWaitMillis(workClass, request.deadlineMillis(), nowMillis);
    if (nowMillis + waitMillis + runMillis >= request.deadlineMillis()) {
      long givenMillis = request.deadlineMillis() - request.arrivedMillis();
      return Either.left(Failure.of(ResultCode.DEADLINE_UNREACHABLE, givenMillis));
    }
    runTimes.recordAdmission(request.route(), nowMillis);
    double meanMillis = runTimes.meanMillis(request.route(), workClass);
    long latestStart = request.deadlineMillis() - (long) Math.ceil(runMillis);
    queues.get(workClass).add(new QueuedRequest(request, workClass, meanMillis, latestStart));
    return Either.right(workClass);
  }

  @Override
  public List<Assignment> assign(long nowMillis) {
    collectOverdue(nowMillis);
    learnOverruns(nowMillis);
    List<Assignment> assignments = new ArrayList<>();
    if (queuedCount() == 0) {
      return assignments;
    }
    int slots = endpoints.usableSlots(nowMillis);
    Assignment next = assignNext(slots, nowMillis);
    while (next != null) {
      assignments.add(next);
      next = assignNext(slots, nowMillis);
    }
    return assignments;
  }

  @Override
  public void complete(
      Assignment assignment, AttemptResult result, long runMillis, long nowMillis) {
    SlotUse.Attempt attempt = slotUse.end(assignment);
    if (attempt == null) {
      return;
    }
    String endpoint = assignment.endpoint().name();
    endpoints.recordResult(endpoint, result, attempt.startedMillis(), nowMillis);
    classPolicy.recordUse(assignment.workClass(), nowMillis - attempt.startedMillis());
    switch (result) {
      case SUCCEEDED -> runTimes.learn(attempt.route(), runMillis, nowMillis);
      case BROKEN, CANCELLED -> runTimes.learnLowerBound(attempt.route(), runMillis, nowMillis);
      case FAILED, NOT_CONNECTED -> {
        // The time until an error is not a run time of the route.
      }
      default -> throw new IllegalArgumentException("result " + result);
    }
  }

  @Override
  public boolean cancel(long requestId) {
    for (DeadlineQueue queue : queues.values()) {
      if (queue.remove(requestId) != null) {
        return true;
      }
    }
    return overdue.remove(requestId) != null;
  }

  @Override
  public List<PendingRequest> expire(long nowMillis) {
    collectOverdue(nowMillis);
    List<PendingRequest> expired = List.copyOf(overdue.values());
    overdue.clear();
    return expired;
  }

  @Override
  public boolean tryTakeRetry(long nowMillis) {
    return retryBudget.tryTakeRetry(nowMillis);
  }

  @Override
  public void setEndpoints(List<RoutingEndpoint> newEndpoints, long nowMillis) {
    endpoints.setEndpoints(newEndpoints);
  }

  @Override
  public void setSlotShares(Map<String, Integer> shares) {
    endpoints.setShares(shares);
  }

  @Override
  public void removeEndpoint(String name) {
    endpoints.remove(name);
  }

  @Override
  public ServiceLoad load() {
    return new ServiceLoad(queuedCount(), slotUse.totalInProgress());
  }

  @Override
  public int inProgress(String endpoint) {
    return slotUse.inProgressAt(endpoint);
  }

  private int queuedCount() {
    return queues.values().stream().mapToInt(DeadlineQueue::size).sum();
  }

  private boolean contains(long id) {
    return slotUse.contains(id)
        || overdue.containsKey(id)
        || queues.values().stream().anyMatch(queue -> queue.contains(id));
  }

  /**
   * Returns how long queued requests of the same class with an earlier deadline will keep the slots
   * of the class busy. Long work is assumed to get all slots up to its limit: assuming the single
   * slot that is guaranteed to it would refuse most long requests in every burst of short ones.
   */
  private double expectedWaitMillis(WorkClass workClass, long deadlineMillis, long nowMillis) {
    int slots = endpoints.usableSlots(nowMillis);
    int longLimit = WorkClassPolicy.longLimit(slots);
    int longInProgress = Math.min(longLimit, slotUse.longInProgress());
    boolean isLong = workClass == WorkClass.LONG;
    int classSlots = Math.max(1, isLong ? longLimit : slots - longInProgress);
    int inUse = isLong ? longInProgress : slotUse.totalInProgress() - longInProgress;
    double workAhead = queues.get(workClass).workAheadMillis(deadlineMillis);
    if (inUse < classSlots && workAhead == 0) {
      return 0;
    }
    return (workAhead + runTimes.meanMillis(workClass)) / classSlots;
  }

  private void collectOverdue(long nowMillis) {
    for (DeadlineQueue queue : queues.values()) {
      for (QueuedRequest queued : queue.removeOverdue(nowMillis)) {
        overdue.put(queued.id(), queued.request());
      }
    }
  }

  private void learnOverruns(long nowMillis) {
    for (SlotUse.Attempt attempt :
        slotUse.reclassifyOverruns(limits.shortLimitMillis(), nowMillis)) {
      if (!runTimes.hasEstimate(attempt.route())) {
        runTimes.learnLowerBound(attempt.route(), nowMillis - attempt.startedMillis(), nowMillis);
      }
    }
  }

  private Assignment assignNext(int slots, long nowMillis) {
    if (slots == 0) {
      return null;
    }
    for (WorkClass workClass : classPolicy.classOrder(slots, slotUse.longInProgress())) {
      Assignment assignment = assignFrom(queues.get(workClass), nowMillis);
      if (assignment != null) {
        return assignment;
      }
    }
    return null;
  }

  private Assignment assignFrom(DeadlineQueue queue, long nowMillis) {
    Iterator<QueuedRequest> candidates = queue.iterator();
    for (int i = 0; i < MAX_EXAMINED_REQUESTS && candidates.hasNext(); i++) {
      QueuedRequest queued = candidates.next();
      RoutingEndpoint endpoint = endpoints.choose(queued.request(), slotUse, nowMillis);
      if (endpoint != null) {
        queue.remove(queued.id());
        return start(queued, endpoint, nowMillis);
      }
      if (queued.request().triedEndpoints().isEmpty()) {
        return null;
      }
    }
    return null;
  }

  private Assignment start(QueuedRequest queued, RoutingEndpoint endpoint, long nowMillis) {
    Assignment assignment = new Assignment(queued.id(), endpoint, queued.workClass());
    slotUse.start(new SlotUse.Attempt(assignment, queued.request().route(), nowMillis));
    return assignment;
  }
}
