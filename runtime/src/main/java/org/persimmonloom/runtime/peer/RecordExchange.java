package org.persimmonloom.runtime.peer;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.core.member.PeerView;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.runtime.log.LogPage;
import org.persimmonloom.runtime.log.RecordSource;
import org.persimmonloom.runtime.log.RecordWindow;

/**
 * Gets records from a peer that folded more, and answers the same question of others: {@code
 * fetch-records} with the first offset wanted, answered with a {@link LogPage}. Safe for any
 * thread.
 */
@Singleton
public final class RecordExchange implements RecordSource {
  static final String KIND = "fetch-records";

  /** Leaves half of a frame free, because records are counted without their headers. */
  private static final int MAX_ANSWER_BYTES = 512 * 1024;

  private static final long TIMEOUT_MILLIS = 1_000;
  private static final int MAX_PEERS = 2;

  private final Codec codec = new Codec(Map.of());
  private final PeerChannel channel;
  private final ClusterService cluster;
  private final RecordWindow window;

  /** The question. */
  record FetchRecords(long fromOffset) {}

  @Inject
  public RecordExchange(PeerChannel channel, ClusterService cluster, RecordWindow window) {
    this.channel = channel;
    this.cluster = cluster;
    this.window = window;
    channel.handle(KIND, (peer, question) -> answer(question));
  }

  private CompletableFuture<byte[]> answer(byte[] question) {
    return codec
        .decode(question, FetchRecords.class)
        .map(fetch -> codec.encode(window.page(fetch.fromOffset(), MAX_ANSWER_BYTES)))
        .fold(
            failure ->
                CompletableFuture.failedFuture(new IllegalArgumentException(failure.toString())),
            CompletableFuture::completedFuture);
  }

  @Override
  public Optional<LogPage> fetch(long fromOffset) {
    List<String> peers =
        cluster.peers().stream()
            .map(PeerView.ReceivedHeartbeat::heartbeat)
            .filter(heartbeat -> heartbeat.nextOffset() > fromOffset)
            .sorted(Comparator.comparingLong(heartbeat -> -heartbeat.nextOffset()))
            .limit(MAX_PEERS)
            .map(heartbeat -> heartbeat.name())
            .toList();
    for (String peer : peers) {
      Optional<LogPage> page = ask(peer, fromOffset);
      if (page.isPresent()) {
        return page;
      }
    }
    return Optional.empty();
  }

  private Optional<LogPage> ask(String peer, long fromOffset) {
    byte[] question = codec.encode(new FetchRecords(fromOffset));
    try {
      byte[] answer =
          channel
              .ask(peer, KIND, question, TIMEOUT_MILLIS)
              .get(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      return codec
          .decode(answer, LogPage.class)
          .toJavaOptional()
          .filter(page -> page.fromOffset() == fromOffset && !page.records().isEmpty());
    } catch (ExecutionException | TimeoutException e) {
      return Optional.empty();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }
}
