package org.persimmonloom.tool.demo;

import java.io.Closeable;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Freezes or cuts the connections of one entry host that runs inside this process. Safe for any
 * thread.
 *
 * <p>While frozen, bytes that arrive are held back and writes of the entry host wait; after the
 * thaw they go on, except on sockets that a timeout closed meanwhile. A cut closes all sockets, and
 * every later use fails.
 *
 * <p>A freeze stands for a paused process as its peers on the network see it. It covers outgoing
 * connections (log, host list, endpoints) and answers to callers and to health checks. It doesn't
 * stop the threads and timers of the entry host, which go on computing in memory, nor its
 * connections to other entry hosts.
 */
public final class NetworkGate {
  private enum State {
    OPEN,
    FROZEN,
    CUT
  }

  private final Set<Closeable> sockets = ConcurrentHashMap.newKeySet();
  private State state = State.OPEN;

  /** Holds back all bytes from now on. */
  public synchronized void freeze() {
    if (state == State.OPEN) {
      state = State.FROZEN;
    }
  }

  /** Lets bytes pass again. */
  public synchronized void thaw() {
    if (state == State.FROZEN) {
      state = State.OPEN;
      notifyAll();
    }
  }

  /** Closes all sockets for good. */
  public void cut() throws IOException {
    synchronized (this) {
      state = State.CUT;
      notifyAll();
    }
    for (Closeable socket : sockets) {
      socket.close();
    }
  }

  /** Waits while frozen; fails once cut. */
  synchronized void pass() throws IOException {
    while (state == State.FROZEN) {
      try {
        wait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new InterruptedIOException("interrupted while frozen");
      }
    }
    if (state == State.CUT) {
      throw new SocketException("cut off");
    }
  }

  void add(Closeable socket) {
    sockets.add(socket);
  }

  void remove(Closeable socket) {
    sockets.remove(socket);
  }
}
