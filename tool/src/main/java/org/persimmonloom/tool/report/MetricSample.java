package org.persimmonloom.tool.report;

import java.util.Map;

/**
 * One line of a metrics page.
 *
 * @param labels label values by name
 */
public record MetricSample(String name, Map<String, String> labels, double value) {
  public MetricSample {
    labels = Map.copyOf(labels);
  }
}
