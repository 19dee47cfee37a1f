package org.persimmonloom.runtime.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.Verdict;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.EntrySettings;

class GroupCommitterTest {
  private static final InstantSource CLOCK =
      InstantSource.fixed(Instant.ofEpochMilli(1_700_000_000_000L));

  private static EntrySettings settings() {
    InetSocketAddress unused = new InetSocketAddress("127.0.0.1", 1);
    return new EntrySettings(
        "entry-1",
        "dc1",
        "local",
        unused,
        unused,
        unused,
        List.of(),
        "token-token",
        "http://127.0.0.1:1",
        "http://127.0.0.1:1",
        0,
        0,
        86_400_000);
  }

  /** Folds each record before the response to its append. */
  private static PlatformLog foldingLog(ReplicatedState state) {
    AtomicLong next = new AtomicLong();
    return new PlatformLog() {
      @Override
      public long append(byte[] bytes) {
        long offset = next.getAndIncrement();
        state.fold(offset, bytes);
        return offset;
      }

      @Override
      public LogPage read(long fromOffset, int maxRecords, long waitMillis) {
        throw new UnsupportedOperationException();
      }
    };
  }

  /**
   * Guards against a batch that is held back for the fold wait of the batch before it, which was
   * folded before its append returned. The clock stands still, so such a batch is never appended.
   */
  @Test
  void aBatchFoldedBeforeItsAppendReturnsDelaysNothing() throws Exception {
    ReplicatedState state = new ReplicatedState();
    GroupCommitter committer = new GroupCommitter(foldingLog(state), state, settings(), CLOCK);
    committer.start();
    try {
      for (int i = 0; i < 3; i++) {
        List<Verdict> verdicts =
            committer
                .propose(List.of(new ReleaseProposed("anna", "no note " + i, 0)))
                .get(30, TimeUnit.SECONDS);
        assertThat(verdicts.get(0).code()).isEqualTo(ResultCode.NOTE_INVALID);
      }
    } finally {
      committer.stop();
    }
  }
}
