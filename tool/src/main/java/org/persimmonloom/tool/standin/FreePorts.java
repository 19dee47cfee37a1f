package org.persimmonloom.tool.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds loopback ports that are free. Another process may take a port between the choice and its
 * use, which then fails at start.
 */
public final class FreePorts {
  private FreePorts() {}

  /** Returns distinct free addresses on loopback. */
  public static List<InetSocketAddress> choose(int count) {
    List<ServerSocket> held = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        held.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return held.stream()
          .map(it -> new InetSocketAddress("127.0.0.1", it.getLocalPort()))
          .toList();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } finally {
      held.forEach(FreePorts::close);
    }
  }

  private static void close(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
