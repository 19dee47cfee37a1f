package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.channels.SocketChannel;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonloom.core.routing.AttemptResult;
import org.persimmonloom.core.routing.RoutingEndpoint;
import org.persimmonloom.runtime.caller.FakeEndpoint.Behavior;
import org.persimmonloom.runtime.endpoint.EndpointCall;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.endpoint.EndpointRequest;
import org.persimmonloom.runtime.endpoint.EndpointResult;

@Timeout(value = 15, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class EndpointClientTest {
  private final AtomicLong nowMillis = new AtomicLong(1_000_000);
  private final InstantSource clock = () -> Instant.ofEpochMilli(nowMillis.get());
  private final EndpointClient client = new EndpointClient(new OkHttpClient(), clock);

  private EndpointCall start(FakeEndpoint endpoint, boolean isRepeatable, long progressMillis) {
    return client.send(
        new RoutingEndpoint("h1", endpoint.address(), "r1", "dc1"),
        new EndpointRequest(
            "POST",
            "/x",
            List.of(),
            new byte[1],
            "a" + nowMillis.incrementAndGet(),
            10_000,
            progressMillis,
            1,
            isRepeatable));
  }

  private EndpointResult send(FakeEndpoint endpoint, boolean isRepeatable) throws Exception {
    return start(endpoint, isRepeatable, 10_000).result().get();
  }

  /** Guards against a non-repeatable request on an idle connection that may be broken. */
  @Test
  void connectionIdleBeyondTheLimitIsNotUsedForNonRepeatableRequests() throws Exception {
    try (FakeEndpoint endpoint = new FakeEndpoint(Behavior.ANSWER)) {
      send(endpoint, false);
      nowMillis.addAndGet(1_900);
      send(endpoint, false);
      assertThat(endpoint.connections).hasValue(1);
      nowMillis.addAndGet(2_100);
      send(endpoint, true);
      assertThat(endpoint.connections).hasValue(1);
      nowMillis.addAndGet(2_100);
      assertThat(send(endpoint, false).result()).isEqualTo(AttemptResult.SUCCEEDED);
      assertThat(endpoint.connections).hasValue(2);
      assertThat(endpoint.received).hasSize(4);
    }
  }

  /** Guards against reuse of a connection without response after its attempt has ended. */
  @Test
  void silentConnectionEndsAtTheProgressLimitAndIsNotReused() throws Exception {
    try (FakeEndpoint endpoint =
        new FakeEndpoint(Behavior.ANSWER, Behavior.SILENT, Behavior.ANSWER)) {
      send(endpoint, true);
      EndpointResult silent = start(endpoint, true, 200).result().get();
      assertThat(silent.result()).isEqualTo(AttemptResult.BROKEN);
      assertThat(silent.mayHaveRun()).isTrue();
      endpoint.connectionClosed.await();
      assertThat(send(endpoint, true).result()).isEqualTo(AttemptResult.SUCCEEDED);
      assertThat(endpoint.connections).hasValue(2);
    }
  }

  /** Guards against new work for an endpoint that left while the process was paused. */
  @Test
  void attemptStartedBeforeAPauseIsNotSent() throws Exception {
    OkHttpClient paused =
        new OkHttpClient.Builder()
            .addNetworkInterceptor(
                chain -> {
                  LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1_700));
                  return chain.proceed(chain.request());
                })
            .build();
    try (FakeEndpoint endpoint = new FakeEndpoint(Behavior.ANSWER)) {
      EndpointResult result =
          new EndpointClient(paused, clock)
              .send(
                  new RoutingEndpoint("h1", endpoint.address(), "r1", "dc1"),
                  new EndpointRequest(
                      "POST", "/x", List.of(), new byte[1], "a", 10_000, 10_000, 1, false))
              .result()
              .get();
      assertThat(result.mayHaveRun()).isFalse();
      assertThat(result.result()).isEqualTo(AttemptResult.CANCELLED);
      assertThat(endpoint.received).isEmpty();
    }
  }

  /** Guards against more connections to an endpoint than this host's share. */
  @Test
  void attemptBeyondTheConnectionShareIsNotSent() throws Exception {
    try (FakeEndpoint endpoint = new FakeEndpoint(Behavior.GATED)) {
      EndpointCall running = start(endpoint, true, 10_000);
      endpoint.requestArrived.await();
      EndpointResult refused = send(endpoint, true);
      assertThat(refused.result()).isEqualTo(AttemptResult.CANCELLED);
      assertThat(refused.mayHaveRun()).isFalse();
      assertThat(refused.isRefused()).isFalse();
      endpoint.responseGate.countDown();
      assertThat(running.result().get().result()).isEqualTo(AttemptResult.SUCCEEDED);
      assertThat(endpoint.connections).hasValue(1);
    }
  }

  /**
   * Guards against a short deadline of a caller that removes a healthy endpoint from routing. The
   * endpoint of the test does not accept connections, and its backlog is full.
   */
  @ParameterizedTest
  @CsvSource({"50,CANCELLED,false", "5000,NOT_CONNECTED,true"})
  void connectTimeoutCountsOnlyIfTheDeadlineLeftTime(
      long timeoutMillis, AttemptResult result, boolean isRefused) throws Exception {
    List<SocketChannel> waiting = new ArrayList<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      for (int i = 0; i < 8; i++) {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        channel.connect(server.getLocalSocketAddress());
        waiting.add(channel);
      }
      EndpointResult ended =
          client
              .send(
                  new RoutingEndpoint("h1", "127.0.0.1:" + server.getLocalPort(), "r1", "dc1"),
                  new EndpointRequest(
                      "GET", "/x", List.of(), new byte[0], "a", timeoutMillis, 5_000, 1, false))
              .result()
              .get();
      assertThat(ended.result()).isEqualTo(result);
      assertThat(ended.isRefused()).isEqualTo(isRefused);
      assertThat(ended.mayHaveRun()).isFalse();
    } finally {
      for (SocketChannel channel : waiting) {
        channel.close();
      }
    }
  }
}
