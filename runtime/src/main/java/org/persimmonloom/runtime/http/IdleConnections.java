package org.persimmonloom.runtime.http;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.xnio.IoUtils;

/**
 * Open connections without a call in progress, by address; the last one used is reused first.
 * Confined to the client's I/O thread.
 */
final class IdleConnections {
  /** Time after which an unused connection is closed, in ms. */
  private static final long MAX_IDLE_MILLIS = 60_000;

  private static final int MAX_PER_ADDRESS = 4;

  private final Map<String, Deque<Idle>> byAddress = new HashMap<>();

  private record Idle(ClientConnection connection, long sinceMillis) {}

  /** Returns an open connection to an address and removes it; null if there is none. */
  ClientConnection take(String address) {
    Deque<Idle> idle = byAddress.get(address);
    while (idle != null && !idle.isEmpty()) {
      ClientConnection connection = idle.pop().connection();
      if (connection.isOpen()) {
        return connection;
      }
    }
    return null;
  }

  void add(String address, ClientConnection connection, long nowMillis) {
    if (!connection.isOpen()) {
      return;
    }
    Deque<Idle> idle = byAddress.computeIfAbsent(address, key -> new ArrayDeque<>());
    if (idle.size() >= MAX_PER_ADDRESS) {
      IoUtils.safeClose(connection);
    } else {
      idle.push(new Idle(connection, nowMillis));
    }
  }

  /**
   * Closes the connections to an address. After a call without an answer the others may be silent
   * too, if something between the two ends has lost its state.
   */
  void closeAll(String address) {
    Deque<Idle> idle = byAddress.remove(address);
    if (idle != null) {
      idle.forEach(entry -> IoUtils.safeClose(entry.connection()));
    }
  }

  /** Closes the connections that have been unused for too long. */
  void closeExpired(long nowMillis) {
    for (Iterator<Deque<Idle>> all = byAddress.values().iterator(); all.hasNext(); ) {
      Deque<Idle> idle = all.next();
      while (!idle.isEmpty() && nowMillis - idle.peekLast().sinceMillis() > MAX_IDLE_MILLIS) {
        IoUtils.safeClose(idle.pollLast().connection());
      }
      if (idle.isEmpty()) {
        all.remove();
      }
    }
  }
}
