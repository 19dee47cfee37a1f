package org.persimmonloom.tool.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads the Prometheus text format, version 0.0.4. Lines that are not samples are skipped, because
 * a report should survive metrics that it doesn't know. Stateless.
 */
public final class MetricsParser {
  private static final Pattern LINE =
      Pattern.compile("([a-zA-Z_:][\\w:]*)(?:\\{(.*)\\})?\\s+(\\S+)(?:\\s+-?\\d+)?");
  private static final Pattern LABEL =
      Pattern.compile("([a-zA-Z_]\\w*)=\"((?:[^\"\\\\]|\\\\.)*)\"");

  /** Returns the samples in the order of the text. */
  public List<MetricSample> parse(String text) {
    List<MetricSample> samples = new ArrayList<>();
    for (String line : text.split("\n")) {
      Matcher matcher = LINE.matcher(line.strip());
      if (line.startsWith("#") || !matcher.matches()) {
        continue;
      }
      try {
        double value = Double.parseDouble(matcher.group(3).replace("Inf", "Infinity"));
        samples.add(new MetricSample(matcher.group(1), labels(matcher.group(2)), value));
      } catch (NumberFormatException e) {
        continue;
      }
    }
    return samples;
  }

  private static Map<String, String> labels(String text) {
    Map<String, String> labels = new HashMap<>();
    if (text != null) {
      Matcher matcher = LABEL.matcher(text);
      while (matcher.find()) {
        labels.put(matcher.group(1), unescape(matcher.group(2)));
      }
    }
    return labels;
  }

  private static String unescape(String value) {
    return value.replace("\\n", "\n").replace("\\\"", "\"").replace("\\\\", "\\");
  }
}
