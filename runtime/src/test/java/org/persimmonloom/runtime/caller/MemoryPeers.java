package org.persimmonloom.runtime.caller;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import org.persimmonloom.runtime.peer.PeerChannel;

/** Peer connections in memory that can be disconnected. */
final class MemoryPeers {
  private final Map<String, BiFunction<String, byte[], CompletableFuture<byte[]>>> handlers =
      new ConcurrentHashMap<>();
  final AtomicInteger queryCount = new AtomicInteger();
  volatile boolean isDisconnected;

  PeerChannel channel(String self) {
    return new PeerChannel() {
      @Override
      public CompletableFuture<byte[]> ask(
          String peer, String kind, byte[] question, long timeoutMillis) {
        queryCount.incrementAndGet();
        var handler = handlers.get(peer + "/" + kind);
        return isDisconnected || handler == null
            ? CompletableFuture.failedFuture(new IOException("peer is disconnected"))
            : handler.apply(self, question);
      }

      @Override
      public void handle(
          String kind, BiFunction<String, byte[], CompletableFuture<byte[]>> handler) {
        handlers.put(self + "/" + kind, handler);
      }
    };
  }
}
