package org.persimmonloom.tool.measure;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.function.ToLongFunction;
import org.apache.commons.math3.stat.regression.SimpleRegression;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.command.Command;

/** Measures the cost of one more record of each kind, for the capacity page. */
@Parameters(
    commandDescription =
        "Measure the cost of one more host, claim, job, change and registration in the fold")
public final class SlopesCommand implements Command {
  private static final String ROW = "%-21s %18s %10.1f %10.2f %12.1f %12.2f %12.2f %10.1f%n";
  private static final String HEAD = "%-21s %18s %10s %10s %12s %12s %12s %10s%n";

  @Parameter(names = "--repeats", description = "runs per size; the fastest fold counts")
  private int repeats = 5;

  @Parameter(names = "--json", description = "print the slopes as JSON")
  private boolean json;

  /** What one more unit costs, by least squares over the measured sizes. */
  record Slope(
      FoldWorkload workload,
      String sizes,
      double logBytes,
      double foldMicros,
      double snapshotBytes,
      double snapshotMicros,
      double restoreMicros,
      double heapBytes) {}

  @Override
  public Either<Failure, String> run() {
    FoldMeter meter = new FoldMeter();
    List<Slope> slopes = new ArrayList<>();
    for (FoldWorkload workload : FoldWorkload.values()) {
      slopes.add(slope(meter, workload));
    }
    return Either.right(json ? ProposalTypes.CODEC.toJson(slopes) : table(slopes));
  }

  private Slope slope(FoldMeter meter, FoldWorkload workload) {
    int[] sizes = workload.sizes();
    meter.measure(workload, sizes[0]);
    List<SlopeSample> samples = new ArrayList<>();
    for (int size : sizes) {
      samples.add(best(meter, workload, size));
    }
    return new Slope(
        workload,
        sizes[0] + ".." + sizes[sizes.length - 1],
        fit(sizes, samples, SlopeSample::logBytes),
        fit(sizes, samples, SlopeSample::foldMicros),
        fit(sizes, samples, SlopeSample::snapshotBytes),
        fit(sizes, samples, SlopeSample::snapshotMicros),
        fit(sizes, samples, SlopeSample::restoreMicros),
        fit(sizes, samples, SlopeSample::heapBytes));
  }

  /** The fastest run is the least disturbed by the compiler, the collector and other processes. */
  private SlopeSample best(FoldMeter meter, FoldWorkload workload, int size) {
    List<SlopeSample> runs = new ArrayList<>();
    for (int run = 0; run < repeats; run++) {
      runs.add(meter.measure(workload, size));
    }
    return runs.stream().min(Comparator.comparingLong(SlopeSample::foldMicros)).orElseThrow();
  }

  private static double fit(
      int[] sizes, List<SlopeSample> samples, ToLongFunction<SlopeSample> value) {
    SimpleRegression regression = new SimpleRegression();
    for (int i = 0; i < sizes.length; i++) {
      regression.addData(sizes[i], value.applyAsLong(samples.get(i)));
    }
    return regression.getSlope();
  }

  private static String table(List<Slope> slopes) {
    StringBuilder text = new StringBuilder("cost of one more unit\n");
    text.append(
        String.format(
            Locale.ROOT,
            HEAD,
            "unit",
            "sizes",
            "log B",
            "fold us",
            "snapshot B",
            "encode us",
            "restore us",
            "heap B"));
    for (Slope slope : slopes) {
      text.append(
          String.format(
              Locale.ROOT,
              ROW,
              slope.workload(),
              slope.sizes(),
              slope.logBytes(),
              slope.foldMicros(),
              slope.snapshotBytes(),
              slope.snapshotMicros(),
              slope.restoreMicros(),
              slope.heapBytes()));
    }
    return text.toString();
  }
}
