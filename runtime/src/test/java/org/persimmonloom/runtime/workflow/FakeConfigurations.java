package org.persimmonloom.runtime.workflow;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.TableRecord;

/** Encodes configurations as text: the version, the only service, then the prefixes of routes. */
final class FakeConfigurations implements PlatformDecoder {
  static final String HOST_NAME = "host";

  private static final String KEY = "config";

  static TableRecord record(long version, String... prefixes) {
    return recordOf(version, "service", prefixes);
  }

  static TableRecord recordOf(long version, String service, String... prefixes) {
    String text = version + " " + service + " " + String.join(" ", prefixes);
    return new TableRecord(KEY, text.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public Optional<FleetConfiguration> configuration(TableRecord record) {
    if (!record.key().equals(KEY)) {
      return Optional.empty();
    }
    String[] words = new String(record.value(), StandardCharsets.UTF_8).split(" ");
    List<FleetConfiguration.Route> routes =
        Arrays.stream(words).skip(2).map(prefix -> route(prefix, words[1])).toList();
    return Optional.of(
        new FleetConfiguration(
            Long.parseLong(words[0]), routes, Set.of(words[1]), Set.of(), 1 << 18));
  }

  private static FleetConfiguration.Route route(String prefix, String service) {
    return new FleetConfiguration.Route(
        HOST_NAME, prefix, new QueuePolicy("queue" + prefix, service, 0, 1, 1, 0, 0));
  }

  @Override
  public Optional<WaveOrder> wave(TableRecord record) {
    return Optional.empty();
  }

  @Override
  public TableRecord waveStatus(WaveProgress progress) {
    throw new UnsupportedOperationException();
  }

  @Override
  public Optional<WorkerFacts> worker(TableRecord record) {
    return Optional.empty();
  }
}
