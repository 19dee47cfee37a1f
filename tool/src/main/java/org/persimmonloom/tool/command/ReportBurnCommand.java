package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.release.DefinitionKind;
import org.persimmonloom.core.release.ReleaseCatalog;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.report.BurnCalculator;
import org.persimmonloom.tool.report.BurnPlot;
import org.persimmonloom.tool.report.BurnSample;
import org.persimmonloom.tool.report.BurnSampler;
import org.persimmonloom.tool.report.BurnTable;
import org.persimmonloom.tool.report.BurnWindows;
import org.persimmonloom.tool.report.SampleFile;
import org.persimmonloom.tool.report.ServiceBurn;

@Parameters(
    commandDescription =
        "Show how much of the error budget of each service is left, how fast it is being spent and"
            + " by what")
final class ReportBurnCommand implements Command {
  private static final long SAMPLE_MILLIS = 1_000;

  @ParametersDelegate private OperatorClient client = new OperatorClient();

  @Parameter(
      names = "--metrics",
      description = "ip:port of the operators' listeners of all entry hosts, with commas between")
  private List<String> metrics = new ArrayList<>();

  @Parameter(names = "--watch", description = "take a sample each second for so many seconds")
  private long watchSeconds;

  @Parameter(names = "--samples", description = "file that keeps the samples between reports")
  private String samplesFile;

  @Parameter(names = "--short-window", description = "seconds of the short window")
  private long shortSeconds = BurnWindows.DEFAULT.shortMillis() / 1_000;

  @Parameter(names = "--long-window", description = "seconds of the long window")
  private long longSeconds = BurnWindows.DEFAULT.longMillis() / 1_000;

  @Parameter(names = "--plot", description = "write burn rates over time to this PNG file")
  private String plotFile;

  @Parameter(names = "--json", description = "print JSON")
  private boolean printsJson;

  @Override
  public List<String> examples() {
    return List.of(
        "persimmonloom report burn --entry 127.0.0.1:7080 --samples burn.jsonl",
        "persimmonloom report burn --metrics 127.0.0.1:7080,127.0.0.1:7081 --watch 60 --plot"
            + " burn.png");
  }

  @Override
  public Either<Failure, String> run() {
    return objectives().flatMap(this::sampleAndReport);
  }

  private Either<Failure, SortedMap<String, Double>> objectives() {
    return client
        .get("/release")
        .flatMap(json -> ProposalTypes.CODEC.fromJson(json, ReleaseCatalog.Snapshot.class))
        .map(
            snapshot -> {
              SortedMap<String, Double> objectives = new TreeMap<>();
              snapshot
                  .values()
                  .getOrDefault(DefinitionKind.SERVICE, Map.of())
                  .forEach(
                      (name, values) ->
                          objectives.put(name, Double.valueOf(values.get("objective_percent"))));
              return objectives;
            });
  }

  private Either<Failure, String> sampleAndReport(SortedMap<String, Double> objectives) {
    BurnSampler sampler = new BurnSampler(metrics.isEmpty() ? List.of(client.address()) : metrics);
    List<BurnSample> samples = new ArrayList<>();
    try {
      Either<Failure, Integer> taken = takeSamples(sampler, samples);
      if (taken.isLeft()) {
        return Either.left(taken.getLeft());
      }
      return Either.right(report(objectives, samples));
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.INTERNAL, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(Failure.of(ResultCode.CANCELLED));
    }
  }

  /** Fills in the kept samples and the new ones, and returns their number. */
  private Either<Failure, Integer> takeSamples(BurnSampler sampler, List<BurnSample> samples)
      throws IOException, InterruptedException {
    SampleFile kept = samplesFile == null ? null : new SampleFile(Path.of(samplesFile));
    if (kept != null) {
      samples.addAll(kept.read());
    }
    for (long second = 0; second <= watchSeconds; second++) {
      Either<Failure, List<BurnSample>> taken = sampler.sample(System.currentTimeMillis());
      if (taken.isLeft()) {
        return Either.left(taken.getLeft());
      }
      samples.addAll(taken.get());
      if (kept != null) {
        kept.add(taken.get());
      }
      if (second < watchSeconds) {
        Thread.sleep(SAMPLE_MILLIS);
      }
    }
    return Either.right(samples.size());
  }

  private String report(SortedMap<String, Double> objectives, List<BurnSample> samples)
      throws IOException {
    BurnWindows windows = new BurnWindows(shortSeconds * 1_000, longSeconds * 1_000);
    BurnCalculator calculator = new BurnCalculator(objectives, windows);
    List<ServiceBurn> burns = calculator.calculate(samples, System.currentTimeMillis());
    if (plotFile != null) {
      BurnPlot.write(Path.of(plotFile), calculator, List.copyOf(objectives.keySet()), samples);
    }
    return printsJson ? ProposalTypes.CODEC.toJson(burns) : BurnTable.format(burns);
  }
}
