package org.persimmonloom.runtime.peer;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;

/**
 * The questions that wait for an answer and the handlers of questions from peers. Safe for any
 * thread.
 */
final class PeerQuestions {
  private final Map<Long, Waiting> waiting = new ConcurrentHashMap<>();
  private final Map<String, BiFunction<String, byte[], CompletableFuture<byte[]>>> handlers =
      new ConcurrentHashMap<>();
  private final AtomicLong nextId = new AtomicLong();

  private record Waiting(String peer, CompletableFuture<byte[]> future) {}

  /** A question that was registered and must now be sent. */
  record Opened(PeerMessage.Question question, CompletableFuture<byte[]> future) {}

  Opened open(String peer, String kind, byte[] body, long timeoutMillis) {
    long id = nextId.incrementAndGet();
    CompletableFuture<byte[]> future = new CompletableFuture<>();
    waiting.put(id, new Waiting(peer, future));
    CompletableFuture.delayedExecutor(timeoutMillis, TimeUnit.MILLISECONDS)
        .execute(() -> fail(id, "no answer within " + timeoutMillis + " ms"));
    return new Opened(new PeerMessage.Question(id, kind, body), future);
  }

  /** Takes in an answer; one that comes late or from another peer is dropped. */
  void answered(String peer, PeerMessage.Answer answer) {
    Waiting entry = waiting.get(answer.id());
    if (entry == null || !entry.peer().equals(peer) || !waiting.remove(answer.id(), entry)) {
      return;
    }
    if (answer.error() == null) {
      entry.future().complete(answer.body());
    } else {
      entry.future().completeExceptionally(failure(peer, answer.error()));
    }
  }

  void fail(long id, String reason) {
    Waiting entry = waiting.remove(id);
    if (entry != null) {
      entry.future().completeExceptionally(failure(entry.peer(), reason));
    }
  }

  /** Fails every question to a peer, because its connection broke or could not be opened. */
  void failAll(String peer, String reason) {
    waiting.forEach(
        (id, entry) -> {
          if (entry.peer().equals(peer)) {
            fail(id, reason);
          }
        });
  }

  void failAll(String reason) {
    waiting.keySet().forEach(id -> fail(id, reason));
  }

  private static IOException failure(String peer, String reason) {
    return new IOException("peer " + peer + ": " + reason);
  }

  void handle(String kind, BiFunction<String, byte[], CompletableFuture<byte[]>> handler) {
    handlers.put(kind, handler);
  }

  /** Runs the handler; the result never completes exceptionally. */
  CompletableFuture<PeerMessage.Answer> answer(String peer, PeerMessage.Question question) {
    var handler = handlers.get(question.kind());
    if (handler == null) {
      return CompletableFuture.completedFuture(error(question, "no handler for this question"));
    }
    CompletableFuture<byte[]> answer;
    try {
      answer = handler.apply(peer, question.body());
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(error(question, String.valueOf(e)));
    }
    return answer.handle(
        (body, error) ->
            error == null && body != null
                ? new PeerMessage.Answer(question.id(), body, null)
                : error(question, String.valueOf(error)));
  }

  static PeerMessage.Answer error(PeerMessage.Question question, String reason) {
    return new PeerMessage.Answer(question.id(), null, reason);
  }
}
