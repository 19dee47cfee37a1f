package org.persimmonloom.runtime.peer;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiFunction;

/** A channel without peers: every question fails. Used until the mesh is bound. Stateless. */
public final class UnconnectedPeers implements PeerChannel {
  @Override
  public CompletableFuture<byte[]> ask(
      String peer, String kind, byte[] question, long timeoutMillis) {
    return CompletableFuture.failedFuture(new IOException("no connection to peer " + peer));
  }

  @Override
  public void handle(String kind, BiFunction<String, byte[], CompletableFuture<byte[]>> handler) {}
}
