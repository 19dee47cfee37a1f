package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.ProposalResult;

class GroupCommitterTest {
  /** At least a minute longer than the limit if each batch waits two seconds for the one before. */
  private static final int BATCHES = 60;

  /** Answers an append only after the replica has folded the record. */
  private record LateAnswerLog(FakeLog log, AtomicReference<TestReplica> replica)
      implements PlatformLog {
    @Override
    public long append(byte[] bytes) throws IOException {
      long offset = log.append(bytes);
      try {
        TestReplica.await(() -> replica.get().state.nextOffset() > offset);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
      return offset;
    }

    @Override
    public LogPage read(long fromOffset, int maxRecords, long waitMillis) throws IOException {
      return log.read(fromOffset, maxRecords, waitMillis);
    }
  }

  /**
   * Guards against a batch that is held back for the fold wait of the batch before it, although
   * that one was folded before its append returned.
   */
  @Test
  void batchesFoldedBeforeTheirAppendReturnsDelayNothing() throws Exception {
    AtomicReference<TestReplica> replica = new AtomicReference<>();
    LateAnswerLog log = new LateAnswerLog(new FakeLog(), replica);
    replica.set(new TestReplica("entry-1", log, Long.MAX_VALUE / 2, offset -> Optional.empty()));
    replica.get().start();
    try {
      CompletableFuture<Void> all =
          CompletableFuture.runAsync(
              () -> {
                for (int i = 0; i < BATCHES; i++) {
                  List<ProposalResult> verdicts =
                      replica.get().committer.propose(List.of(replica.get().claim())).join();
                  assertThat(verdicts.get(0).isAccepted()).isTrue();
                }
              });
      all.get(TestReplica.GENEROUS_MILLIS, TimeUnit.MILLISECONDS);
    } finally {
      replica.get().stop();
    }
  }
}
