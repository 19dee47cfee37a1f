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

/**
 * A scripted endpoint that speaks HTTP/1.1 on plain sockets. Each request takes the next behavior
 * of the script; the last one repeats.
 */
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

  record ReceivedRequest(String method, String target, Map<String, String> headers, String body) {}

  final List<ReceivedRequest> received = new CopyOnWriteArrayList<>();
  final AtomicInteger connections = new AtomicInteger();
  final CountDownLatch requestArrived = new CountDownLatch(1);
  final CountDownLatch responseGate = new CountDownLatch(1);
  final CountDownLatch connectionClosed = new CountDownLatch(1);
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
                // The socket was closed by the test or by the code under test.
                return;
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  private synchronized Behavior nextBehavior() {
    return script.size() > 1 ? script.poll() : script.peek();
  }

  private void serve(Socket socket) throws Exception {
    DataInputStream in = new DataInputStream(socket.getInputStream());
    while (true) {
      String[] start = readLine(in).split(" ");
      Map<String, String> headers = new TreeMap<>();
      for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
        int colon = line.indexOf(':');
        headers.put(
            line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
      }
      byte[] body = new byte[Integer.parseInt(headers.getOrDefault("content-length", "0"))];
      in.readFully(body);
      received.add(
          new ReceivedRequest(
              start[0], start[1], headers, new String(body, StandardCharsets.UTF_8)));
      requestArrived.countDown();
      answer(nextBehavior(), socket, in, start[0], headers.get("persimmonloom-attempt"));
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
      case NO_CONTENT -> writeRaw(out, "HTTP/1.1 204 None\r\n" + echo + "\r\n");
      case NOT_MODIFIED -> writeRaw(out, "HTTP/1.1 304 Same\r\n" + echo + "ETag: \"1\"\r\n\r\n");
      case SHORT -> {
        writeRaw(out, "HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 10\r\n\r\nshort");
        socket.close();
      }
      case UNFRAMED -> {
        writeRaw(out, "HTTP/1.1 200 OK\r\n" + echo + "\r\nbody");
        socket.close();
      }
      case CLOSE -> socket.close();
      case GATED -> {
        responseGate.await();
        write(out, "200 OK", echo, method);
      }
      default -> {
        if (in.read() < 0) {
          connectionClosed.countDown();
        }
      }
    }
  }

  private static void write(OutputStream out, String status, String headers, String method)
      throws IOException {
    String body = method.equals("HEAD") ? "" : "done";
    writeRaw(out, "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 4\r\n\r\n" + body);
  }

  private static void writeRaw(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String readLine(DataInputStream in) throws IOException {
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
