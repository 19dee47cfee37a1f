package org.persimmonloom.tool.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.LongStream;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.scheduling.EndedTask;
import org.persimmonloom.core.scheduling.Order;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.scheduling.WorkerReport;
import org.persimmonloom.tool.command.Command;

/** Measures the work of the fleet's owner, by the number of workers and of unended workflows. */
@Parameters(commandDescription = "Measure the parts of a pass of the fleet's owner")
public final class PassesCommand implements Command {
  private static final int WARM_UP_ROUNDS = 300;
  private static final double NANOS_PER_MICRO = 1_000;
  private static final String HEAD = "%7s %9s %9s %9s %9s %9s %9s%n";
  private static final String ROW = "%7d %9d %9.1f %9.1f %9.1f %9.1f %9.1f%n";

  @Parameter(names = "--workers", description = "numbers of workers")
  private List<Integer> workers = List.of(40, 250, 1_000);

  @Parameter(names = "--workflows", description = "numbers of unended workflows")
  private List<Integer> workflows = List.of(100, 1_000, 4_000);

  @Parameter(names = "--rounds", description = "rounds per size; the median counts")
  private int rounds = 31;

  @Parameter(names = "--seed", description = "seed of the workflows and of the tasks that end")
  private long seed = 1;

  /** Times of one size in nanoseconds, one of each round. */
  private static final class Times {
    private final long[] idle;
    private final long[] start;
    private final long[] report;
    private final long[] holds;
    private final long[] machines;

    Times(int rounds) {
      idle = new long[rounds];
      start = new long[rounds];
      report = new long[rounds];
      holds = new long[rounds];
      machines = new long[rounds];
    }
  }

  @Override
  public Either<Failure, String> run() {
    // The first size would else be measured before its code is compiled.
    measure(workers.get(workers.size() / 2), workflows.get(workflows.size() / 2), WARM_UP_ROUNDS);
    StringBuilder text = new StringBuilder("median microseconds\n");
    text.append(
        String.format(
            Locale.ROOT,
            HEAD,
            "workers",
            "workflows",
            "idle",
            "starting",
            "report",
            "holds",
            "hosts"));
    for (int workerCount : workers) {
      for (int workflowCount : workflows) {
        Times times = measure(workerCount, workflowCount, rounds);
        text.append(
            String.format(
                Locale.ROOT,
                ROW,
                workerCount,
                workflowCount,
                micros(times.idle),
                micros(times.start),
                micros(times.report),
                micros(times.holds),
                micros(times.machines)));
      }
    }
    return Either.right(text.toString());
  }

  private Times measure(int workerCount, int workflowCount, int count) {
    PassFleet fleet = new PassFleet(workerCount, workflowCount, seed);
    Times times = new Times(count);
    for (int round = 0; round < count; round++) {
      WorkerFacts worker = fleet.anyWorker();
      List<EndedTask> ended = fleet.change(worker);
      WorkerReport report = fleet.answer(worker, ended);
      long before = System.nanoTime();
      fleet.scheduler().workerReported(worker, fleet.now() - 1, report, fleet.now());
      long reported = System.nanoTime();
      List<Order> orders = fleet.decide();
      long decided = System.nanoTime();
      times.report[round] = reported - before;
      times.start[round] = decided - reported;
      fleet.obey(orders);
      before = System.nanoTime();
      fleet.decide();
      times.idle[round] = System.nanoTime() - before;
      Set<String> inFlight = fleet.othersThan(worker);
      before = System.nanoTime();
      fleet.scheduler().dueHolds(inFlight, fleet.now());
      times.holds[round] = System.nanoTime() - before;
    }
    // Moves of hosts change where tasks may start, so they come last.
    for (int round = 0; round < count; round++) {
      List<Order> orders = new ArrayList<>(fleet.decide());
      long before = System.nanoTime();
      fleet.scheduler().machines().decide(orders, fleet.now(), fleet.now());
      times.machines[round] = System.nanoTime() - before;
      fleet.obey(orders);
    }
    return times;
  }

  private static double micros(long[] nanos) {
    long[] sorted = LongStream.of(nanos).sorted().toArray();
    return sorted[sorted.length / 2] / NANOS_PER_MICRO;
  }

  @Override
  public List<String> examples() {
    return List.of("measure passes", "measure passes --workers 250 --workflows 1000");
  }
}
