package org.persimmonloom.tool.report;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.wire.Codec;

/** Keeps samples between reports, one JSON document a line. For one process at a time. */
public final class SampleFile {
  private final Codec codec = new Codec(Map.of());
  private final Path path;

  /** Creates a file of samples; it need not exist. */
  public SampleFile(Path path) {
    this.path = path;
  }

  /** Returns all samples in the order in which they were added. */
  public List<BurnSample> read() throws IOException {
    if (!Files.exists(path)) {
      return List.of();
    }
    List<BurnSample> samples = new ArrayList<>();
    for (String line : Files.readAllLines(path)) {
      samples.add(
          codec
              .fromJson(line, BurnSample.class)
              .getOrElseThrow((Failure failure) -> new IOException(failure.toString())));
    }
    return samples;
  }

  /** Adds samples. */
  public void add(List<BurnSample> samples) throws IOException {
    StringBuilder lines = new StringBuilder();
    samples.forEach(it -> lines.append(codec.toJson(it)).append('\n'));
    Files.writeString(
        path, lines, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
  }
}
