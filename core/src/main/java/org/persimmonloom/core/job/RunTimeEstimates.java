package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * What is learned of each kind of job from its last successful runs.
 *
 * <p>Quantiles of a sliding window are used instead of means, because a few jobs run many times
 * longer than the rest. Both the samples per kind and the number of kinds are bounded; the kind
 * that ran least recently is dropped first. Part of the fold, so that all entry hosts place alike.
 * Confined to the thread that folds.
 */
public final class RunTimeEstimates {
  /** Fewer samples say too little; the declaration is used until then. */
  public static final int MIN_SAMPLES = 8;

  static final int MAX_SAMPLES = 64;
  static final int MAX_KINDS = 1_000;

  private final TreeMap<String, Kind> kinds = new TreeMap<>();

  /** One successful run. */
  public record Sample(long runMillis, long cores, long memoryMb) {}

  /**
   * The samples of one kind, oldest first.
   *
   * @param lastOffset offset of the newest
   */
  public record Kind(String kind, long lastOffset, List<Sample> samples) {
    public Kind {
      samples = List.copyOf(samples);
    }
  }

  /** Returns the name under which jobs like this one are learned. */
  public static String kindOf(JobSpec spec) {
    return spec.service() + '/' + spec.kind();
  }

  void observe(JobSpec spec, Sample sample, long offset) {
    String name = kindOf(spec);
    Kind known = kinds.get(name);
    List<Sample> samples = new ArrayList<>(known == null ? List.of() : known.samples());
    if (samples.size() == MAX_SAMPLES) {
      samples.remove(0);
    }
    samples.add(sample);
    kinds.put(name, new Kind(name, offset, samples));
    if (kinds.size() > MAX_KINDS) {
      dropOldest();
    }
  }

  private void dropOldest() {
    Kind oldest = null;
    for (Kind kind : kinds.values()) {
      if (oldest == null || kind.lastOffset() < oldest.lastOffset()) {
        oldest = kind;
      }
    }
    kinds.remove(oldest.kind());
  }

  /** Returns the quantile of the run time in milliseconds, or empty below the least samples. */
  public OptionalLong runMillis(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::runMillis);
  }

  /** Returns the quantile of the processors used. */
  public OptionalLong cores(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::cores);
  }

  /** Returns the quantile of the peak memory in MiB. */
  public OptionalLong memoryMb(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::memoryMb);
  }

  private OptionalLong quantile(JobSpec spec, double quantile, ToLongFunction<Sample> value) {
    Kind kind = kinds.get(kindOf(spec));
    if (kind == null || kind.samples().size() < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    long[] sorted = kind.samples().stream().mapToLong(value).sorted().toArray();
    int rank = (int) Math.ceil(quantile * sorted.length);
    return OptionalLong.of(sorted[Math.max(1, rank) - 1]);
  }

  List<Kind> snapshot() {
    return List.copyOf(kinds.values());
  }

  void restore(List<Kind> snapshot) {
    kinds.clear();
    snapshot.forEach(kind -> kinds.put(kind.kind(), kind));
  }
}
