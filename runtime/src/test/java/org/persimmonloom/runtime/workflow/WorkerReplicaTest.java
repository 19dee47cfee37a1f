package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.WaveOrder;
import org.persimmonloom.core.scheduling.WaveProgress;
import org.persimmonloom.core.scheduling.WorkerFacts;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.TableRecord;

class WorkerReplicaTest {
  private static final byte[] READABLE = {1};
  private static final byte[] ODD = {2};

  private final List<Collection<WorkerFacts>> published = new ArrayList<>();
  private final WorkerReplica replica = new WorkerReplica(new FirstByteDecoder(), published::add);
  private long offset;

  /** Reads a worker from each value that begins with 1. */
  private static final class FirstByteDecoder implements PlatformDecoder {
    @Override
    public Optional<FleetConfiguration> configuration(TableRecord record) {
      return Optional.empty();
    }

    @Override
    public Optional<WaveOrder> wave(TableRecord record) {
      return Optional.empty();
    }

    @Override
    public TableRecord waveStatus(WaveProgress progress) {
      return new TableRecord("", null);
    }

    @Override
    public Optional<WorkerFacts> worker(TableRecord record) {
      Resources capacity = new Resources(1, 1, 0);
      return record.value() != null && record.value()[0] == 1
          ? Optional.of(
              new WorkerFacts(record.key(), "10.0.0.1:80", "s", "a", false, capacity, Set.of(), 1))
          : Optional.empty();
    }
  }

  private void apply(String key, byte[] value) {
    replica.apply(new StoredRecord(offset++, new TableRecord(key, value)));
  }

  /**
   * Guards against hosts that follow the table and list a worker which a host that has just loaded
   * it does not list.
   */
  @Test
  void workerWhoseNewestEntryIsUnreadableIsNotListed() {
    apply("i-1", READABLE);
    apply("i-2", READABLE);
    apply("i-1", ODD);
    apply("i-3", ODD);
    assertThat(published.get(published.size() - 1))
        .extracting(WorkerFacts::id)
        .containsExactly("i-2");
    apply("i-1", READABLE);
    assertThat(published.get(published.size() - 1))
        .extracting(WorkerFacts::id)
        .containsExactlyInAnyOrder("i-1", "i-2");
  }

  /**
   * Guards against an owner that takes workers for gone whose entries are still to be read, because
   * its list is published in the middle of a load.
   */
  @Test
  void listIsPublishedWholeDuringALoad() {
    apply("i-1", READABLE);
    apply("i-2", READABLE);
    TableFollower.Load load = replica.beginLoad();
    load.add(new StoredRecord(offset++, new TableRecord("i-1", READABLE)));
    apply("i-3", READABLE);
    assertThat(published.get(published.size() - 1)).hasSize(3);
    load.publish();
    assertThat(published.get(published.size() - 1)).hasSize(1);
  }
}
