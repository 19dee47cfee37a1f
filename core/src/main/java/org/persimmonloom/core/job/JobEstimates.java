package org.persimmonloom.core.job;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.ToLongFunction;

/**
 * Estimates of run time and resource use for each kind of job, based on its most recent successful
 * runs.
 *
 * <p>The estimates are quantiles of a sliding window instead of means, because a few jobs run many
 * times longer than the rest. Both the samples per kind and the number of kinds are bounded; the
 * kind that finished least recently is evicted first. The estimates are part of the fold, so all
 * entry hosts compute the same placements. Confined to the fold thread.
 */
public final class JobEstimates {
  /** Minimum samples for an estimate; with fewer, the declared values are used. */
  public static final int MIN_SAMPLES = 8;

  static final int MAX_SAMPLES = 64;
  static final int MAX_KINDS = 1_000;

  private final TreeMap<String, Kind> kinds = new TreeMap<>();

  /** One successful run: run time in milliseconds, processors used, and peak memory in MiB. */
  public record Sample(long runMillis, long cores, long memoryMb) {}

  /**
   * The samples of one kind, oldest first.
   *
   * @param lastOffset log offset of the newest sample
   */
  public record Kind(String kind, long lastOffset, List<Sample> samples) {
    public Kind {
      samples = List.copyOf(samples);
    }
  }

  /** Returns the key under which the runs of this service and kind are collected. */
  public static String kindKey(JobSpec spec) {
    return spec.service() + '/' + spec.kind();
  }

  void observe(JobSpec spec, Sample sample, long offset) {
    String name = kindKey(spec);
    Kind existing = kinds.get(name);
    List<Sample> samples = new ArrayList<>(existing == null ? List.of() : existing.samples());
    if (samples.size() == MAX_SAMPLES) {
      samples.remove(0);
    }
    samples.add(sample);
    kinds.put(name, new Kind(name, offset, samples));
    if (kinds.size() > MAX_KINDS) {
      evictOldestKind();
    }
  }

  private void evictOldestKind() {
    Kind oldest = null;
    for (Kind kind : kinds.values()) {
      if (oldest == null || kind.lastOffset() < oldest.lastOffset()) {
        oldest = kind;
      }
    }
    kinds.remove(oldest.kind());
  }

  /**
   * Returns the quantile of the run time in milliseconds, or empty if there are too few samples.
   */
  public OptionalLong runMillis(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::runMillis);
  }

  /** Returns the quantile of the processors used, or empty if there are too few samples. */
  public OptionalLong cores(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::cores);
  }

  /** Returns the quantile of the peak memory in MiB, or empty if there are too few samples. */
  public OptionalLong memoryMb(JobSpec spec, double quantile) {
    return quantile(spec, quantile, Sample::memoryMb);
  }

  private OptionalLong quantile(JobSpec spec, double quantile, ToLongFunction<Sample> value) {
    Kind kind = kinds.get(kindKey(spec));
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
