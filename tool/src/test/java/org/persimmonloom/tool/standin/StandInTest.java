package org.persimmonloom.tool.standin;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.runtime.log.HttpPlatformLog;
import org.persimmonloom.runtime.log.LogPage;

/** Guards against a fault switch that does nothing, which would make a demo pass for no reason. */
class StandInTest {
  private static final byte[] RECORD = {1};

  private final List<InetSocketAddress> ports = FreePorts.choose(2);
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
  private final LogStandIn log = new LogStandIn(ports.get(0));
  private final EndpointStandIn endpoint = new EndpointStandIn("e1", ports.get(1), executions::add);
  private final OkHttpClient http =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .callTimeout(1, TimeUnit.SECONDS)
          .build();
  private final HttpPlatformLog client =
      new HttpPlatformLog(http, "http://127.0.0.1:" + ports.get(0).getPort());

  @BeforeEach
  void start() {
    log.start();
    endpoint.start();
  }

  @AfterEach
  void stop() {
    log.stop();
    endpoint.stop();
    http.connectionPool().evictAll();
  }

  private Response send(String key, String attempt) throws IOException {
    String url =
        "http://127.0.0.1:" + ports.get(1).getPort() + "/scan/bundle?run=1&try=2&key=" + key;
    return http.newCall(
            new Request.Builder().url(url).header("Persimmonloom-Attempt", attempt).build())
        .execute();
  }

  @Test
  void lostAnswersTakeEffectAndAnOutageDoesNot() throws IOException {
    log.faults().setLosesAnswers(true);
    assertThatThrownBy(() -> client.append(RECORD)).isInstanceOf(IOException.class);
    log.faults().setOutage(true);
    assertThatThrownBy(() -> client.append(RECORD)).isInstanceOf(IOException.class);
    assertThatThrownBy(() -> client.read(0, 10, 0)).isInstanceOf(IOException.class);
    log.faults().setOutage(false);
    log.faults().setLosesAnswers(false);
    assertThat(client.append(RECORD)).isEqualTo(1);
    assertThat(client.read(0, 10, 0).records()).hasSize(2);
  }

  @Test
  void expiredRecordsRaiseTheFirstOffset() throws InterruptedException {
    RecordStore store = new RecordStore();
    store.setRetentionMillis(100);
    store.append(RECORD, 10, 0);
    store.append(RECORD, 10, 50);
    store.append(RECORD, 10, 120);
    LogPage page = store.read(0, 10, 0);
    assertThat(List.of(page.firstOffset(), page.fromOffset(), page.nextOffset()))
        .containsExactly(1L, 1L, 3L);
    assertThat(page.records()).hasSize(2);
  }

  @Test
  void appendsBeyondTheLimitOfASecondAreRefused() {
    RecordStore store = new RecordStore();
    assertThat(store.append(RECORD, 1, 5_000)).isPresent();
    assertThat(store.append(RECORD, 1, 5_999)).isEmpty();
    assertThat(store.append(RECORD, 1, 6_000)).isPresent();
    assertThat(store.refusedAppends()).isEqualTo(1);
  }

  @Test
  void theHostListLags() {
    HostFacts facts =
        new HostFacts("e1", HostKind.EXECUTOR, "127.0.0.1:1", "r1", "dc1", "r", 8, 1, 0, "pool");
    HostListStandIn hosts =
        new HostListStandIn(ports.get(0), new HostList(List.of(facts), Set.of()));
    hosts.setLagMillis(60_000);
    hosts.setLeaving("e1", true);
    long now = System.currentTimeMillis();
    assertThat(hosts.visible(now).leaving()).isEmpty();
    assertThat(hosts.visible(now + 60_000).leaving()).containsExactly("e1");
  }

  @Test
  void aSoundAnswerEchoesTheAttemptAndIsCounted() throws IOException {
    try (Response response = send("k1", "a1")) {
      assertThat(response.header("Persimmonloom-Attempt")).isEqualTo("a1");
      assertThat(response.body().string())
          .isEqualTo(EndpointStandIn.answerText("k1", "/scan/bundle"));
    }
    Execution run = executions.remove();
    assertThat(List.of(run.key(), run.callerTry(), run.attempt(), run.service()))
        .isEqualTo(List.of("k1", 2, "a1", "scan"));
  }

  @Test
  void aCrossedAnswerCarriesTheAttemptBefore() throws IOException {
    send("k1", "a1").close();
    endpoint.setFault(EndpointFault.CROSSED_ANSWER, 1);
    try (Response response = send("k2", "a2")) {
      assertThat(response.header("Persimmonloom-Attempt")).isEqualTo("a1");
      assertThat(response.body().string()).startsWith("k1 ");
    }
  }

  @Test
  void aShortAnswerEndsEarly() {
    endpoint.setFault(EndpointFault.SHORT_ANSWER, 1);
    assertThatThrownBy(
            () -> {
              try (Response response = send("k1", "a1")) {
                response.body().string();
              }
            })
        .isInstanceOf(IOException.class);
    assertThat(executions).hasSize(1);
  }

  @Test
  void anEndpointThatFailsEverythingRunsNothing() throws IOException {
    endpoint.setFault(EndpointFault.FAIL_EVERYTHING, 1);
    try (Response response = send("k1", "a1")) {
      assertThat(response.code()).isEqualTo(500);
    }
    assertThat(executions).isEmpty();
  }

  @Test
  void aSilentConnectionNeverAnswersWhileANewOneWorks() throws IOException {
    endpoint.silenceConnections(1);
    assertThatThrownBy(() -> send("k1", "a1")).isInstanceOf(IOException.class);
    try (Response response = send("k2", "a2")) {
      assertThat(response.code()).isEqualTo(200);
    }
    assertThat(executions).hasSize(1);
  }

  @Test
  void requestsBeyondTheSlotsWaitInOrder() {
    SlotQueue slots = new SlotQueue(1);
    Queue<Integer> begun = new ConcurrentLinkedQueue<>();
    for (int i = 0; i < 3; i++) {
      int number = i;
      slots.submit(3_600_000, () -> begun.add(number), () -> {});
    }
    assertThat(begun).containsExactly(0);
  }

  @Test
  void theConsoleSwitchesFaultsAndRefusesOtherLines() {
    StandInConsole console = new StandInConsole(log, null, List.of(endpoint));
    assertThat(console.run("log outage on").isRight()).isTrue();
    assertThat(log.faults().isOut()).isTrue();
    assertThat(console.run("endpoint 1 crossed_answer").isRight()).isTrue();
    assertThat(console.run("endpoint 2 none").isLeft()).isTrue();
    assertThat(console.run("log outage maybe").isLeft()).isTrue();
  }
}
