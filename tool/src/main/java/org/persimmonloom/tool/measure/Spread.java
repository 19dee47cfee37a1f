package org.persimmonloom.tool.measure;

import java.util.Arrays;
import java.util.Locale;

/** Median, least and greatest value of one figure over the seeds. */
record Spread(double median, double least, double greatest) {
  static Spread of(double[] values) {
    double[] sorted = values.clone();
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    double median =
        sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    return new Spread(median, sorted[0], sorted[sorted.length - 1]);
  }

  String text(int decimals) {
    String format = "%." + decimals + "f";
    return String.format(
        Locale.ROOT, format + " [" + format + "-" + format + "]", median, least, greatest);
  }
}
