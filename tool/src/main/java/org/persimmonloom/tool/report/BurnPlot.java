package org.persimmonloom.tool.report;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws burn rates over time into a PNG file, one line for each service. Stateless. */
public final class BurnPlot {
  private static final int WIDTH_PIXELS = 1_000;
  private static final int HEIGHT_PIXELS = 500;

  private BurnPlot() {}

  /** Writes the plot; services without requests are left out. */
  public static void write(
      Path file, BurnCalculator calculator, List<String> services, List<BurnSample> samples)
      throws IOException {
    System.setProperty("java.awt.headless", "true");
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title("Burn rate over the short window")
            .xAxisTitle("seconds")
            .yAxisTitle("burn rate")
            .build();
    for (String service : services) {
      SortedMap<Long, Double> rates = calculator.history(service, samples);
      if (!rates.isEmpty()) {
        long start = rates.firstKey();
        double[] seconds =
            rates.keySet().stream().mapToDouble(it -> (it - start) / 1_000.0).toArray();
        double[] values = rates.values().stream().mapToDouble(Double::doubleValue).toArray();
        chart.addSeries(service, seconds, values).setMarker(SeriesMarkers.NONE);
      }
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapFormat.PNG);
  }
}
