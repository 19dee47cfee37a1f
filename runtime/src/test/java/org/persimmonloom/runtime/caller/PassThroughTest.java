package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.runtime.caller.EntryFixture.await;
import static org.persimmonloom.runtime.caller.EntryFixture.outcome;

import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonloom.runtime.caller.FakeEndpoint.Behavior;

@Timeout(value = 8, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PassThroughTest {
  private final MemoryLog log = new MemoryLog();
  private EntryFixture entry;

  @BeforeEach
  void start() throws Exception {
    CallerLimits limits = new CallerLimits(3, 100, 4 << 20, 300);
    entry = new EntryFixture("e1", log, new MemoryPeers(), sender -> sender, limits);
    entry.release();
  }

  @AfterEach
  void stop() throws Exception {
    entry.close();
  }

  private FakeEndpoint endpoint(String name, Behavior... behaviors) throws Exception {
    FakeEndpoint endpoint = new FakeEndpoint(behaviors);
    entry.admit("scan-pool", name, endpoint.address());
    return endpoint;
  }

  /** Guards against parts of a request or response that are lost or added. */
  @Test
  void requestAndResponsePassThroughWithoutHopByHopHeaders() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    HttpResponse<String> response =
        entry.send(
            entry
                .request("/scan/a%20b?x=1&y=%2F")
                .header("X-Mine", "1")
                .header("TE", "trailers")
                .header("Persimmonloom-Deadline-Millis", "4000")
                .PUT(HttpRequest.BodyPublishers.ofString("hello"))
                .build());
    assertThat(outcome(response)).isEqualTo("0 ran");
    assertThat(response.body()).isEqualTo("done");
    assertThat(response.headers().firstValue("X-Kept")).contains("yes");
    assertThat(response.headers().firstValue("X-Hop")).isEmpty();
    assertThat(response.headers().firstValue("Persimmonloom-Attempt")).isEmpty();
    FakeEndpoint.ReceivedRequest seen = endpoint.received.get(0);
    assertThat(seen.method() + " " + seen.target()).isEqualTo("PUT /scan/a%20b?x=1&y=%2F");
    assertThat(seen.body()).isEqualTo("hello");
    assertThat(seen.headers()).containsEntry("x-mine", "1").doesNotContainKey("te");
    assertThat(seen.headers()).doesNotContainKey("accept-encoding");
    assertThat(Long.parseLong(seen.headers().get("persimmonloom-deadline-millis")))
        .isBetween(1L, 4_000L);
  }

  /** Guards against a hang or an added body for a response without a body. */
  @ParameterizedTest
  @CsvSource({"HEAD,ANSWER,200", "GET,NO_CONTENT,204", "GET,NOT_MODIFIED,304"})
  void responsesWithoutBodyAreComplete(String method, Behavior behavior, int status)
      throws Exception {
    endpoint("h1", behavior);
    HttpRequest request =
        entry.request("/scan/x").method(method, HttpRequest.BodyPublishers.noBody()).build();
    for (int i = 0; i < 2; i++) {
      HttpResponse<String> response = entry.send(request);
      assertThat(response.statusCode()).isEqualTo(status);
      assertThat(outcome(response)).isEqualTo("0 ran");
      assertThat(response.body()).isEmpty();
    }
  }

  /** Guards against refusals without result number or run header. */
  @ParameterizedTest
  @CsvSource({
    "GET,/none/x,X-A,1,0,404,10",
    "GET,/scan/../bill,X-A,1,0,400,12",
    "GET,/scan/x,Persimmonloom-Deadline-Millis,soon,0,400,12",
    "GET,/scan/x,Persimmonloom-Class,medium,0,400,12",
    "TRACE,/scan/x,X-A,1,0,400,12",
    "PUT,/scan/x,X-A,1,1048577,413,11",
    "GET,/scan/x,X-A,1,0,503,15",
    "POST,/bill/x,X-A,1,1,400,40",
    "POST,/bill/x,Persimmonloom-Request-Key,1-short,1,400,41",
    "POST,/bill/x,Persimmonloom-Request-Key,1-abcdefgh,1,410,42",
  })
  void refusalsAreNumbered(
      String method, String target, String header, String value, int bytes, int status, int code)
      throws Exception {
    HttpResponse<String> response =
        entry.send(
            entry
                .request(target)
                .header(header, value)
                .method(method, HttpRequest.BodyPublishers.ofByteArray(new byte[bytes]))
                .build());
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(outcome(response)).isEqualTo(code + " not-run");
  }

  /** Guards against callers that occupy memory by sending slowly. */
  @Test
  void slowSenderIsRefused() throws Exception {
    endpoint("h1", Behavior.ANSWER);
    try (Socket socket = new Socket("127.0.0.1", entry.listener.address().getPort())) {
      socket
          .getOutputStream()
          .write(
              "POST /scan/x HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc".getBytes("ascii"));
      InputStream in = socket.getInputStream();
      String text = new String(in.readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(text).startsWith("HTTP/1.1 408").contains("Persimmonloom-Result: 23");
    }
  }

  /** Guards against more concurrent requests than memory and threads allow. */
  @Test
  void requestsBeyondTheLimitAreRefused() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    HttpRequest request = entry.request("/scan/x").build();
    var handler = HttpResponse.BodyHandlers.ofString();
    var running = Stream.generate(() -> entry.http.sendAsync(request, handler)).limit(3).toList();
    await(() -> endpoint.received.size() == 2);
    await(
        () ->
            entry.routing.dispatchers().stream()
                    .mapToInt(dispatcher -> dispatcher.load().queued())
                    .sum()
                == 1);
    assertThat(outcome(entry.send(request))).isEqualTo("24 not-run");
    endpoint.responseGate.countDown();
    for (CompletableFuture<HttpResponse<String>> response : running) {
      assertThat(outcome(response.get())).isEqualTo("0 ran");
    }
  }

  /** Guards against a failure although a retry could reach a healthy endpoint. */
  @ParameterizedTest
  @CsvSource({"CLOSE", "SHORT", "CROSSED", "UNFRAMED", "FAIL", "RETRY_NOW", "SILENT"})
  void repeatableRequestIsRetriedAtAnotherEndpoint(Behavior behavior) throws Exception {
    FakeEndpoint bad = endpoint("h1", behavior);
    FakeEndpoint good = endpoint("h2", Behavior.ANSWER);
    HttpRequest request = entry.request("/scan/x").build();
    HttpResponse<String> response = entry.send(request);
    assertThat(outcome(response)).isEqualTo("0 ran");
    assertThat(bad.received).hasSize(1);
    assertThat(good.received).hasSize(1);
  }

  /** Guards against an endpoint that continues to work for a caller that disconnected. */
  @Test
  void cancelledRequestEndsAtTheEndpoint() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.SILENT);
    try (Socket socket = new Socket("127.0.0.1", entry.listener.address().getPort())) {
      socket
          .getOutputStream()
          .write(
              ("GET /scan/x HTTP/1.1\r\nHost: a\r\nPersimmonloom-Class: long\r\n\r\n")
                  .getBytes("ascii"));
      endpoint.requestArrived.await();
    }
    assertThat(endpoint.connectionClosed.await(20, TimeUnit.SECONDS)).isTrue();
    await(() -> entry.routing.requestsInProgress("h1") == 0);
  }

  /** Guards against queued work that runs for a caller that disconnected. */
  @Test
  void cancelledRequestLeavesTheQueue() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    HttpRequest request = entry.request("/scan/x").build();
    var handler = HttpResponse.BodyHandlers.ofString();
    var first = entry.http.sendAsync(request, handler);
    var second = entry.http.sendAsync(request, handler);
    await(() -> endpoint.received.size() == 2);
    try (Socket socket = new Socket("127.0.0.1", entry.listener.address().getPort())) {
      socket.getOutputStream().write("GET /scan/q HTTP/1.1\r\nHost: a\r\n\r\n".getBytes("ascii"));
      await(
          () ->
              entry.routing.dispatchers().stream()
                      .mapToInt(dispatcher -> dispatcher.load().queued())
                      .sum()
                  == 1);
    }
    await(
        () ->
            entry.routing.dispatchers().stream()
                    .mapToInt(dispatcher -> dispatcher.load().queued())
                    .sum()
                == 0);
    endpoint.responseGate.countDown();
    assertThat(outcome(first.get()) + outcome(second.get())).isEqualTo("0 ran0 ran");
    assertThat(endpoint.received).hasSize(2);
  }

  /** Guards against a pipelined request that is lost by the detection of closed connections. */
  @Test
  void pipelinedRequestIsAnswered() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    try (Socket socket = new Socket("127.0.0.1", entry.listener.address().getPort())) {
      byte[] request = "GET /scan/x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes("ascii");
      socket.getOutputStream().write(request);
      endpoint.requestArrived.await();
      socket.getOutputStream().write(request);
      endpoint.responseGate.countDown();
      await(() -> endpoint.received.size() == 2);
      String text = new String(socket.getInputStream().readNBytes(60), StandardCharsets.US_ASCII);
      assertThat(text).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against new work for a leaving host. */
  @Test
  void leavingHostGetsNoNewWork() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    entry.leaving.setPeerReport("e2", Set.of("h1"));
    await(() -> !entry.routing.endpointAddresses().contains(endpoint.address()));
    assertThat(outcome(entry.send(entry.request("/scan/x").build()))).isEqualTo("15 not-run");
    assertThat(entry.routing.requestsInProgress("h1")).isZero();
    entry.leaving.setPeerReport("e2", Set.of());
    entry.awaitRouted(endpoint.address());
    assertThat(outcome(entry.send(entry.request("/scan/x").build()))).isEqualTo("0 ran");
  }
}
