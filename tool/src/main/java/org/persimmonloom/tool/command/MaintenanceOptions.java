package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The options that describe a wave, for a request and for a plan. */
final class MaintenanceOptions {
  @Parameter(names = "--pool", description = "pools whose hosts are maintained, with commas")
  private List<String> pools = new ArrayList<>();

  @Parameter(names = "--host", description = "further hosts, with commas")
  private List<String> hosts = new ArrayList<>();

  @Parameter(names = "--start", description = "start of the window, such as 2026-12-04T22:00:00Z")
  private String start = "now";

  @Parameter(
      names = "--window",
      description = "length of the window",
      converter = DurationConverter.class)
  private Long window;

  @Parameter(names = "--max-at-once", description = "hosts of the wave out at once")
  private int maxAtOnce = 1;

  @Parameter(
      names = "--expected-down",
      description = "how long one host is away",
      converter = DurationConverter.class,
      required = true)
  private Long expectedDown;

  /** Returns why the options can't be used, or empty. */
  Optional<String> error(boolean needsWindow) {
    if (needsWindow && window == null) {
      return Optional.of("--window is required");
    }
    try {
      startMillis();
      return Optional.empty();
    } catch (DateTimeParseException e) {
      return Optional.of("--start must be an instant such as 2026-12-04T22:00:00Z");
    }
  }

  private long startMillis() {
    return start.equals("now") ? System.currentTimeMillis() : Instant.parse(start).toEpochMilli();
  }

  /** Adds the options to a call. */
  OperatorQuery addTo(OperatorQuery query) {
    long startMillis = startMillis();
    return query
        .withAll("pool", pools)
        .withAll("host", hosts)
        .with("start", startMillis)
        .with("end", window == null ? null : startMillis + window)
        .with("max_at_once", maxAtOnce)
        .with("expected_down", expectedDown);
  }
}
