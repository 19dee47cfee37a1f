package org.persimmonloom.runtime.caller;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** An endpoint that misbehaves on demand. Speaks HTTP/1.1 on plain sockets. */
final class FakeEndpoint implements AutoCloseable {
  enum Behavior {
    ANSWER,
    SHORT,
    CROSSED,
    CLOSE,
    SILENT,
    RETRY_NOW,
    UNFRAMED,
    FAIL,
    NO_CONTENT,
    NOT_MODIFIED,
    GATED
  }

  record Seen(String method, String target, Map<String, String> headers, String body) {}

  final List<Seen> seen = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  final CountDownLatch arrived = new CountDownLatch(1);
  final CountDownLatch gate = new CountDownLatch(1);
  final CountDownLatch callerGone = new CountDownLatch(1);
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  private final ArrayDeque<Behavior> script = new ArrayDeque<>();
  private final ServerSocket server;

  FakeEndpoint(Behavior... behaviors) throws IOException {
    script.addAll(List.of(behaviors));
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    start(
        () -> {
          while (true) {
            Socket socket = server.accept();
            sockets.add(socket);
            connections.incrementAndGet();
            start(() -> serve(socket));
          }
        });
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception e) {
                // The socket was closed, by the test or by the subject.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private synchronized Behavior next() {
    return script.size() > 1 ? script.poll() : script.peek();
  }

  private void serve(Socket socket) throws Exception {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (true) {
      String[] start = line(in).split(" ");
      Map<String, String> headers = new TreeMap<>();
      for (String line = line(in); !line.isEmpty(); line = line(in)) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      byte[] body = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
      in.readFully(body);
      seen.add(new Seen(start[0], start[1], headers, new String(body, StandardCharsets.UTF_8)));
      arrived.countDown();
      answer(next(), socket, in, start[0], headers.get("persimmonloom-attempt"));
    }
  }

  private void answer(
      Behavior behavior, Socket socket, DataInputStream in, String method, String attempt)
      throws Exception {
    OutputStream out = socket.getOutputStream();
    String echo = "Persimmonloom-Attempt: " + attempt + "\r\n";
    switch (behavior) {
      case ANSWER ->
          write(out, "200 OK", echo + "X-Kept: yes\r\nX-Hop: no\r\nConnection: X-Hop\r\n", method);
      case FAIL -> write(out, "500 Failed", echo, method);
      case RETRY_NOW -> write(out, "503 Later", echo + "Retry-After: 0\r\n", method);
      case CROSSED -> write(out, "200 OK", "Persimmonloom-Attempt: other\r\n", method);
      case NO_CONTENT -> raw(out, "HTTP/1.1 204 None\r\n" + echo + "\r\n");
      case NOT_MODIFIED -> raw(out, "HTTP/1.1 304 Same\r\n" + echo + "ETag: \"1\"\r\n\r\n");
      case SHORT -> {
        raw(out, "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 10\r\n\r\nshort");
        socket.close();
      }
      case UNFRAMED -> {
        raw(out, "HTTP/1.1 200 OK\r\n" + echo + "\r\nbody");
        socket.close();
      }
      case CLOSE -> socket.close();
      case GATED -> {
        gate.await();
        write(out, "200 OK", echo, method);
      }
      default -> {
        if (in.read() < 0) {
          callerGone.countDown();
        }
      }
    }
  }

  private static void write(OutputStream out, String status, String headers, String method)
      throws IOException {
    String body = method.equals("HEAD") ? "" : "done";
    raw(out, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 4\r\n\r\n" + body);
  }

  private static void raw(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.readUnsignedByte(); next != '\n'; next = in.readUnsignedByte()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
