package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy before a worker. While it is cut, nothing passes in either direction, and connections
 * hang. Connections that were open or were opened during the cut are reset at its end, and what
 * they held is lost.
 */
final class Link {
  private final ServerSocket listener;
  private final int target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean isCut;

  Link(String targetAddress) throws IOException {
    target = Integer.parseInt(targetAddress.substring(targetAddress.indexOf(':') + 1));
    listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  boolean isCut() {
    return isCut;
  }

  void cut() {
    isCut = true;
  }

  void heal() {
    open.forEach(Link::close);
    open.clear();
    isCut = false;
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "link");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (true) {
      try {
        Socket from = listener.accept();
        open.add(from);
        if (!isCut) {
          Socket to = new Socket(InetAddress.getByName("127.0.0.1"), target);
          from.setTcpNoDelay(true);
          to.setTcpNoDelay(true);
          open.add(to);
          daemon(() -> pump(from, to));
          daemon(() -> pump(to, from));
        }
      } catch (IOException e) {
        // The worker behind the link refused the connection; the next one is independent.
        continue;
      }
    }
  }

  private void pump(Socket from, Socket to) {
    byte[] buffer = new byte[16_384];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      int count = in.read(buffer);
      while (count >= 0 && !isCut) {
        out.write(buffer, 0, count);
        count = in.read(buffer);
      }
      if (isCut) {
        return;
      }
    } catch (IOException e) {
      if (isCut) {
        return;
      }
    }
    close(from);
    close(to);
    open.remove(from);
    open.remove(to);
  }

  private static void close(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      // Closed already.
      return;
    }
  }
}
