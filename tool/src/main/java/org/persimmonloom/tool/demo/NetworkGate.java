package org.persimmonloom.tool.demo;

import java.io.Closeable;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Pauses an entry host that runs inside this process, or loses it for good. Safe for any thread.
 *
 * <p>While the gate is frozen, bytes that arrive over HTTP are held back, writes of the entry host
 * wait, and each of its threads that reads the clock waits. After the thaw they go on, except on
 * sockets that a timeout closed meanwhile. A cut closes the HTTP sockets, and the threads wait for
 * good.
 *
 * <p>A freeze covers the connections to the log, the host list and the endpoints, the answers to
 * callers and health checks, and, because the thread of the peer connections reads the clock for
 * each heartbeat, the connections to other entry hosts within one heartbeat interval. Threads that
 * use neither HTTP nor the clock go on, and so does {@link System#nanoTime}. A lost host leaves its
 * connections to other entry hosts open and silent, as a power failure does. Pauses and kills of
 * real processes are tested elsewhere.
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

  /** Waits while frozen, and for good once cut; an interrupted thread goes on. */
  synchronized void awaitOpen() {
    while (state != State.OPEN) {
      try {
        wait();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  synchronized void failIfCut() throws ConnectException {
    if (state == State.CUT) {
      throw new ConnectException("cut off");
    }
  }

  void add(Closeable socket) {
    sockets.add(socket);
  }

  void remove(Closeable socket) {
    sockets.remove(socket);
  }
}
