package org.persimmonloom.runtime.peer;

import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/** Questions between entry hosts over their peer connections. Safe for any thread. */
public interface PeerChannel {
  /**
   * Sends a question to a peer.
   *
   * @param peer name of the entry host
   * @param kind selects the peer's handler
   * @param question MessagePack bytes
   * @param timeoutMillis how long to wait for the answer
   * @return completes with the answer; exceptionally with an {@link java.io.IOException} if the
   *     peer can't be reached, has no such handler or does not answer in time
   */
  CompletableFuture<byte[]> ask(String peer, String kind, byte[] question, long timeoutMillis);

  /**
   * Registers the handler of one kind of question. It gets the asking peer's name and the question,
   * must not block, and answers when its future completes.
   */
  void handle(String kind, BiFunction<String, byte[], CompletableFuture<byte[]>> handler);
}
