package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;

class BatchRecorderTest {
  private static final TableRecord SMALL = new TableRecord("p.small.0", new byte[1]);

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final TableWriter writer =
      new TableWriter(log, Table.WORKFLOWS, "fleet-owner", 1, new WorkflowMetrics(), () -> 0);
  private final ConcurrentLinkedQueue<String> rejected = new ConcurrentLinkedQueue<>();

  @AfterEach
  void stop() {
    writer.stop();
  }

  /**
   * Guards against ends that are acknowledged although what follows from them is not stored: the
   * next owner would start the tasks again.
   */
  @Test
  void recordsThatAreRefusedForGoodAreReported() throws Exception {
    CountDownLatch handled = new CountDownLatch(1);
    BatchRecorder<String> recorder =
        new BatchRecorder<>(
            writer,
            change -> {
              change.run();
              handled.countDown();
            },
            () -> {},
            batch -> {},
            rejected::addAll);
    log.maxAppendBytes = 5_000;
    writer.start();
    recorder.record("batch", List.of(SMALL, new TableRecord("p.large.0", new byte[10_000])));

    assertThat(handled.await(5, TimeUnit.SECONDS)).isTrue();
    assertThat(log.records(Table.WORKFLOWS)).containsExactly(SMALL);
    assertThat(rejected).containsExactly("p.large.0");
  }
}
