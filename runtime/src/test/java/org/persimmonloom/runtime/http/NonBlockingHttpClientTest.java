package org.persimmonloom.runtime.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls to a server that answers, is silent, breaks off, or is not there. */
class NonBlockingHttpClientTest {
  private static final int LONG_MILLIS = 20_000;
  private static final int SHORT_MILLIS = 300;

  /** Time for which this process has stood still, for the client's clock. */
  private final AtomicLong pausedMillis = new AtomicLong();

  private final NonBlockingHttpClient client =
      new NonBlockingHttpClient(
          5_000, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) + pausedMillis.get());
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger requests = new AtomicInteger();
  private final CountDownLatch isResumed = new CountDownLatch(1);
  private ServerSocket server;

  /** What the server does with each request. */
  private volatile Behaviour behaviour = Behaviour.ANSWER;

  private enum Behaviour {
    ANSWER,
    BE_SILENT,
    BREAK_OFF,
    /** Answers once the process has resumed. */
    ANSWER_WHEN_RESUMED,
    ANSWER_AND_CLOSE
  }

  @BeforeEach
  void start() throws IOException {
    client.start();
    server = new ServerSocket(0, 1_000, InetAddress.getLoopbackAddress());
    daemon(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    client.stop();
    server.close();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String body = readRequest(in);
      while (body != null && behaviour != Behaviour.BREAK_OFF) {
        requests.incrementAndGet();
        if (behaviour == Behaviour.ANSWER_WHEN_RESUMED) {
          awaitResumption();
        }
        if (behaviour != Behaviour.BE_SILENT) {
          boolean isClosing = behaviour == Behaviour.ANSWER_AND_CLOSE;
          String response =
              "HTTP/1.1 200 OK\r\n"
                  + (isClosing ? "Connection: close\r\n" : "")
                  + ("Content-Length: " + body.length() + "\r\n\r\n")
                  + body;
          socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
          if (isClosing) {
            return;
          }
        }
        body = readRequest(in);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void awaitResumption() {
    try {
      isResumed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the body of the next request; null at the end of the connection. */
  private static String readRequest(BufferedReader in) throws IOException {
    int length = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
        length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
      line = in.readLine();
    }
    char[] body = new char[length];
    int read = 0;
    while (line != null && read < length) {
      int count = in.read(body, read, length - read);
      if (count < 0) {
        return null;
      }
      read += count;
    }
    return line == null ? null : new String(body);
  }

  private CompletableFuture<HttpReply> post(String body, int limitMillis) {
    String address = "127.0.0.1:" + server.getLocalPort();
    return client.post(new HttpPost(address, "/path", Map.of("X-Name", "v"), body, limitMillis));
  }

  private void awaitRequests(int count) throws InterruptedException {
    while (requests.get() < count) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  private static String text(HttpReply reply) {
    return new String(reply.body(), StandardCharsets.US_ASCII);
  }

  @Test
  void connectionIsReusedForTheNextCall() {
    for (int call = 0; call < 3; call++) {
      HttpReply reply = post("body" + call, LONG_MILLIS).join();
      assertThat(reply.status()).isEqualTo(200);
      assertThat(text(reply)).isEqualTo("body" + call);
    }
    assertThat(connections).hasValue(1);
  }

  /** Guards against a call that is sent on a connection which its server has closed. */
  @Test
  void connectionThatTheServerClosesIsNotReused() {
    behaviour = Behaviour.ANSWER_AND_CLOSE;
    for (int call = 0; call < 3; call++) {
      assertThat(post("body", LONG_MILLIS).join().status()).isEqualTo(200);
    }
    assertThat(connections).hasValue(3);
  }

  /**
   * Guards against crossed answers, and against calls that occupy a thread each: starting and
   * switching these threads took most of the processor time of an owner.
   */
  @Test
  void manyCallsAtATimeNeedNoThreadsOfTheirOwn() {
    List<CompletableFuture<HttpReply>> replies = new ArrayList<>();
    for (int call = 0; call < 300; call++) {
      replies.add(post("body" + call, LONG_MILLIS));
    }
    for (int call = 0; call < replies.size(); call++) {
      assertThat(text(replies.get(call).join())).isEqualTo("body" + call);
    }
    List<String> names = Thread.getAllStackTraces().keySet().stream().map(Thread::getName).toList();
    assertThat(names.stream().filter(name -> name.startsWith("http-client")).count())
        .isLessThanOrEqualTo(3);
  }

  /** Guards against a call without an end, and against further calls on a silent connection. */
  @Test
  void silentConnectionsAreClosedAfterACallWithoutAnswer() throws Exception {
    // Neither call is answered before both are sent, so that they need two connections.
    behaviour = Behaviour.ANSWER_WHEN_RESUMED;
    List<CompletableFuture<HttpReply>> both =
        List.of(post("a", LONG_MILLIS), post("b", LONG_MILLIS));
    awaitRequests(2);
    isResumed.countDown();
    both.forEach(CompletableFuture::join);
    assertThat(connections).hasValue(2);
    behaviour = Behaviour.BE_SILENT;
    HttpReply silent = post("c", SHORT_MILLIS).join();
    assertThat(silent.status()).isZero();
    assertThat(silent.noResponse()).isEqualTo(HttpReply.NoResponse.UNKNOWN);
    behaviour = Behaviour.ANSWER;
    assertThat(post("d", LONG_MILLIS).join().status()).isEqualTo(200);
    assertThat(connections).hasValue(3);
  }

  /** Guards against a refusal for a request that the server may have carried out. */
  @Test
  void requestMayHaveBeenCarriedOutIfTheConnectionBreaksOff() {
    behaviour = Behaviour.BREAK_OFF;
    HttpReply reply = post("a", LONG_MILLIS).join();
    assertThat(reply.noResponse()).isEqualTo(HttpReply.NoResponse.UNKNOWN);
  }

  /** Guards against a start that counts as possibly carried out although no server was reached. */
  @Test
  void requestToAClosedPortIsNotSent() throws IOException {
    // Not the port of the server: while a thread accepts there, it may take a connection after its
    // close.
    int closedPort;
    try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedPort = closed.getLocalPort();
    }
    HttpPost request = new HttpPost("127.0.0.1:" + closedPort, "/path", Map.of(), "a", LONG_MILLIS);
    assertThat(client.post(request).join().isNotSent()).isTrue();
  }

  /** Guards against a call without an end, because its address cannot be called. */
  @Test
  void requestToAnOddAddressIsNotSent() {
    for (String address : List.of("nowhere:99999", "", "a b", "10.0.0.1:-1")) {
      HttpPost odd = new HttpPost(address, "/", Map.of(), "", LONG_MILLIS);
      assertThat(client.post(odd).join().isNotSent()).as(address).isTrue();
    }
  }

  /**
   * Guards against an order that a paused owner sends seconds after it was decided: the owner's
   * term may be over by then.
   */
  @Test
  void requestIsNotSentAfterAPauseLongerThanItsLimit() throws Exception {
    CountDownLatch isPaused = new CountDownLatch(1);
    CompletableFuture<Void> paused =
        post("before", LONG_MILLIS)
            .thenAccept(
                reply -> {
                  isPaused.countDown();
                  awaitResumption();
                });
    assertThat(isPaused.await(5, TimeUnit.SECONDS)).isTrue();
    CompletableFuture<HttpReply> queued = post("queued", LONG_MILLIS);
    pausedMillis.addAndGet(LONG_MILLIS + 1);
    isResumed.countDown();
    paused.join();
    HttpReply reply = queued.join();
    assertThat(reply.noResponse()).isEqualTo(HttpReply.NoResponse.NOT_SENT);
    assertThat(requests).hasValue(1);
    assertThat(post("after", LONG_MILLIS).join().status()).isEqualTo(200);
    assertThat(connections).hasValue(1);
  }

  /** Guards against a report that is read after a pause and taken for a new one. */
  @Test
  void responseReadAfterThePauseOfAProcessCountsAsNone() throws Exception {
    behaviour = Behaviour.ANSWER_WHEN_RESUMED;
    CompletableFuture<HttpReply> call = post("a", LONG_MILLIS);
    awaitRequests(1);
    pausedMillis.addAndGet(LONG_MILLIS + 1);
    isResumed.countDown();
    HttpReply reply = call.join();
    assertThat(reply.noResponse()).isEqualTo(HttpReply.NoResponse.UNKNOWN);
    assertThat(post("after", LONG_MILLIS).join().status()).isEqualTo(200);
    assertThat(connections).hasValue(1);
  }
}
