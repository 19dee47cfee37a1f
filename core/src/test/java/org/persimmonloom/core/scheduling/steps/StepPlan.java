package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * What a run consists of: its size, and the faults that disturb it. All else follows from the seed.
 *
 * @param seed seed of the delays, the workflows and the lengths of the tasks
 * @param hosts number of entry hosts
 * @param workers number of worker hosts
 * @param pageSize number of ends that a worker lists at a time
 * @param faults faults in the order of their times
 */
record StepPlan(long seed, int hosts, int workers, int pageSize, List<StepFault> faults) {
  static final long END_MILLIS = 34_000;
  static final long LAST_SUBMISSION_MILLIS = 22_000;
  private static final long LAST_FAULT_MILLIS = 22_000;
  private static final List<StepFault.Kind> KINDS = List.of(StepFault.Kind.values());
  private static final List<StepFault.Kind> OWNER_LOSSES =
      List.of(
          StepFault.Kind.FREEZE,
          StepFault.Kind.FREEZE_IN_PASS,
          StepFault.Kind.FREEZE_AT_ANSWER,
          StepFault.Kind.HOST_CUT_FROM_STORE,
          StepFault.Kind.HOST_RESTARTED);

  StepPlan {
    faults = List.copyOf(faults);
  }

  static StepPlan of(long seed) {
    Random random = new Random(seed * 31 + 17);
    int hosts = 2 + random.nextInt(3);
    int workers = 3 + random.nextInt(4);
    List<StepFault> faults = new ArrayList<>();
    int bursts = 1 + random.nextInt(4);
    for (int i = 0; i < bursts; i++) {
      addBurst(random, hosts, workers, faults);
    }
    if (random.nextInt(4) == 0) {
      addStandstills(random, hosts, faults);
    }
    faults.sort(Comparator.comparingLong(StepFault::atMillis));
    int pageSize = random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 500;
    return new StepPlan(seed, hosts, workers, pageSize, faults);
  }

  StepPlan with(List<StepFault> some) {
    return new StepPlan(seed, hosts, workers, pageSize, some);
  }

  /** Returns the plan without some kinds of faults. */
  StepPlan without(Set<String> kinds) {
    return with(faults.stream().filter(fault -> !kinds.contains(fault.kind().name())).toList());
  }

  /**
   * Adds faults that are close together, as a disturbance of one place causes them. In most bursts
   * the owner is lost, since most rules about runs are at risk at a takeover.
   */
  private static void addBurst(Random random, int hosts, int workers, List<StepFault> faults) {
    long at = 2_000 + random.nextLong(LAST_FAULT_MILLIS - 2_000);
    if (random.nextInt(3) > 0) {
      StepFault.Kind kind = OWNER_LOSSES.get(random.nextInt(OWNER_LOSSES.size()));
      long duration = 2_000 + random.nextLong(9_000);
      faults.add(new StepFault(at, kind, StepFault.OWNER, 0, duration));
    }
    int worker = random.nextInt(workers);
    int count = 1 + random.nextInt(5);
    for (int i = 0; i < count; i++) {
      StepFault.Kind kind = KINDS.get(random.nextInt(KINDS.size()));
      long begin = Math.max(0, at - 2_000 + random.nextLong(6_000));
      faults.add(fault(random, kind, begin, worker, hosts, workers));
    }
  }

  private static StepFault fault(
      Random random, StepFault.Kind kind, long at, int worker, int hosts, int workers) {
    int someWorker = random.nextInt(4) == 0 ? random.nextInt(workers) : worker;
    long duration = 300 + (long) (11_700 * Math.pow(random.nextDouble(), 2));
    return switch (kind) {
      case WORKER_REPLACED, WORKER_RESTARTED -> new StepFault(at, kind, someWorker, 0, duration);
      case ENTRY_LAPSES, LIST_UNNAMED ->
          new StepFault(at, kind, someWorker, 0, 4_000 + random.nextLong(10_000));
      case SUBMISSION_REPEATED, WORKFLOW_CANCELLED ->
          new StepFault(at, kind, random.nextInt(StepModelLoad.WORKFLOWS), 0, duration);
      case LINK_CUT, LINK_REFUSED, LINK_ANSWERS_LOST, LINK_LATE -> {
        int host = random.nextBoolean() ? StepFault.ALL : StepFault.OWNER;
        int other = random.nextInt(6) == 0 ? StepFault.ALL : someWorker;
        yield new StepFault(at, kind, host, other, duration);
      }
      default ->
          new StepFault(
              at,
              kind,
              random.nextBoolean() ? StepFault.OWNER : random.nextInt(hosts),
              0,
              duration);
    };
  }

  /** Adds the pattern of the incident: two owners stand still in series, and a host is cut off. */
  private static void addStandstills(Random random, int hosts, List<StepFault> faults) {
    long first = 3_000 + random.nextLong(4_000);
    long second = first + 11_000 + random.nextLong(6_000);
    int owner = StepFault.OWNER;
    faults.add(new StepFault(first, StepFault.Kind.FREEZE, owner, 0, 10_000));
    faults.add(new StepFault(second, StepFault.Kind.FREEZE, owner, 0, 10_000));
    faults.add(
        new StepFault(second, StepFault.Kind.HOST_CUT_FROM_STORE, random.nextInt(hosts), 0, 9_000));
  }
}
