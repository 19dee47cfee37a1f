package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.runtime.caller.EntryFixture.await;
import static org.persimmonloom.runtime.caller.EntryFixture.newKey;
import static org.persimmonloom.runtime.caller.EntryFixture.outcome;

import java.net.ServerSocket;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.FoldVersion;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.caller.FakeEndpoint.Behavior;

@Timeout(value = 15, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ClaimedPathTest {
  private static final long DEADLINE_MILLIS = 8_000;

  private final MemoryLog log = new MemoryLog();
  private final MemoryPeers peers = new MemoryPeers();
  private final CountDownLatch resume = new CountDownLatch(1);
  private final CountDownLatch paused = new CountDownLatch(1);
  private volatile boolean isPauseRequested;
  private EntryFixture first;
  private EntryFixture second;

  @BeforeEach
  void start() throws Exception {
    first =
        new EntryFixture(
            "e1",
            log,
            peers,
            sender ->
                (endpoint, request) -> {
                  pauseIfRequested();
                  return sender.send(endpoint, request);
                },
            CallerLimits.DEFAULT);
    second = new EntryFixture("e2", log, peers);
    first.release();
    await(() -> second.routing.find("bill").isRight());
    // The tests expect slot shares that take both entry hosts into account.
    await(() -> first.routing.entryHostCount() == 2 && second.routing.entryHostCount() == 2);
  }

  @AfterEach
  void stop() throws Exception {
    resume.countDown();
    first.close();
    second.close();
  }

  /** Simulates a process that is paused between the claim and the send. */
  private void pauseIfRequested() {
    if (isPauseRequested) {
      paused.countDown();
      try {
        resume.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private FakeEndpoint endpoint(String name, Behavior... behaviors) throws Exception {
    FakeEndpoint endpoint = new FakeEndpoint(behaviors);
    admit(name, endpoint.address());
    return endpoint;
  }

  private void admit(String name, String address) throws Exception {
    first.admit("bill-pool", name, address);
    second.awaitRouted(address);
  }

  private void awaitSettled(String key, RunOutcome outcome) throws Exception {
    await(() -> first.claim(key).filter(claim -> claim.outcome() == outcome).isPresent());
  }

  /** Guards against a repeated or misreported request after an incomplete or wrong response. */
  @ParameterizedTest
  @CsvSource({"CLOSE", "SHORT", "CROSSED", "UNFRAMED", "SILENT"})
  void requestWithoutCompleteResponseIsUnknownAndNotRepeated(Behavior behavior) throws Exception {
    FakeEndpoint bad = endpoint("h1", behavior, Behavior.ANSWER);
    String key = newKey();
    assertThat(outcome(first.bill(key, 1_000).get())).isEqualTo("21 unknown");
    awaitSettled(key, RunOutcome.UNKNOWN);
    assertThat(outcome(second.bill(key, 1_000).get())).isEqualTo("21 unknown");
    assertThat(bad.received).hasSize(1);
    assertThat(outcome(first.bill(newKey(), 1_000).get())).isEqualTo("0 ran");
    assertThat(bad.connections).hasValue(2);
  }

  /** Guards against a late response that reaches the caller of the next request. */
  @Test
  void lateResponseIsNotGivenToTheNextRequest() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED, Behavior.ANSWER);
    assertThat(outcome(first.bill(newKey(), 300).get())).isEqualTo("21 unknown");
    endpoint.responseGate.countDown();
    HttpResponse<String> next = first.bill(newKey(), DEADLINE_MILLIS).get();
    assertThat(outcome(next)).isEqualTo("0 ran");
    assertThat(next.headers().firstValue("X-Kept")).contains("yes");
    assertThat(endpoint.connections).hasValue(2);
  }

  /** Guards against a duplicate that waits for an abandoned claim whose release is not folded. */
  @Test
  void duplicateSupersedesAClaimThatItsHolderAbandoned() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED, Behavior.GATED, Behavior.ANSWER);
    first.bill(newKey(), DEADLINE_MILLIS);
    first.bill(newKey(), DEADLINE_MILLIS);
    await(() -> endpoint.received.size() == 2);
    String key = newKey();
    var queued = first.bill(key, 1_500);
    await(() -> second.claim(key).isPresent());
    log.set(MemoryLog.Mode.DOWN);
    assertThat(outcome(queued.get())).isEqualTo("13 not-run");
    int queriesBefore = peers.queryCount.get();
    var duplicate = second.bill(key, DEADLINE_MILLIS);
    await(() -> peers.queryCount.get() > queriesBefore);
    log.set(MemoryLog.Mode.UP);
    assertThat(outcome(duplicate.get())).isEqualTo("0 ran");
    endpoint.responseGate.countDown();
    assertThat(endpoint.received).hasSize(3);
  }

  /** Guards against the HTTP client's own repetition after 503 with Retry-After: 0. */
  @Test
  void serverErrorIsPassedOnAndNotRepeated() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.RETRY_NOW);
    HttpResponse<String> response = first.bill(newKey(), 1_000).get();
    assertThat(outcome(response)).isEqualTo("19 ran");
    assertThat(response.headers().firstValue("Retry-After")).contains("0");
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against a refusal although another endpoint accepts connections. */
  @Test
  void refusedConnectionMovesTheRequestToAnotherEndpoint() throws Exception {
    try (ServerSocket closed = new ServerSocket(0)) {
      admit("h1", "127.0.0.1:" + closed.getLocalPort());
      closed.close();
    }
    FakeEndpoint good = endpoint("h2", Behavior.ANSWER);
    assertThat(outcome(first.bill(newKey(), DEADLINE_MILLIS).get())).isEqualTo("0 ran");
    assertThat(good.received).hasSize(1);
    assertThat(first.leaving.excludedHosts(System.currentTimeMillis())).contains("h1");
  }

  /** Guards against a dispatch by a claim that reaches the log after the answer "not run". */
  @Test
  void claimAppendedAfterTheRefusalIsReleasedAndNotDispatched() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    log.set(MemoryLog.Mode.SLOW);
    String key = newKey();
    assertThat(outcome(first.bill(key, 300).get())).isEqualTo("46 not-run");
    log.set(MemoryLog.Mode.UP);
    await(
        () -> first.claim(key).filter(claim -> claim.state() == Claim.State.RELEASED).isPresent());
    assertThat(endpoint.received).isEmpty();
    assertThat(outcome(second.bill(key, DEADLINE_MILLIS).get())).isEqualTo("0 ran");
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against waiting longer than 2 s for an unavailable log; the deadline is longer. */
  @Test
  void requestIsRefusedWhileTheLogIsDown() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    log.set(MemoryLog.Mode.DOWN);
    HttpResponse<String> response = first.bill(newKey(), 60_000).get();
    assertThat(outcome(response)).isEqualTo("46 not-run");
    assertThat(response.body()).contains("2000");
    assertThat(endpoint.received).isEmpty();
  }

  /** Guards against a doubled request when the response to an append is lost. */
  @Test
  void lostAppendResponseRunsTheRequestOnce() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    log.set(MemoryLog.Mode.RESPONSE_LOST);
    String key = newKey();
    assertThat(outcome(first.bill(key, DEADLINE_MILLIS).get())).isEqualTo("0 ran");
    awaitSettled(key, RunOutcome.RAN);
    assertThat(log.lostResponses()).isGreaterThanOrEqualTo(2);
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against a duplicate that runs, at either host, while the first copy runs or later. */
  @Test
  void duplicatesGetTheAnswerOfTheFirstCopy() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    String key = newKey();
    var original = first.bill(key, DEADLINE_MILLIS);
    endpoint.requestArrived.await();
    var sameHost = first.bill(key, DEADLINE_MILLIS);
    await(() -> second.claim(key).isPresent());
    int queriesBefore = peers.queryCount.get();
    var otherHost = second.bill(key, DEADLINE_MILLIS);
    await(() -> peers.queryCount.get() > queriesBefore);
    endpoint.responseGate.countDown();
    for (var copy : List.of(original, sameHost, otherHost)) {
      assertThat(outcome(copy.get()) + copy.get().body()).isEqualTo("0 randone");
    }
    awaitSettled(key, RunOutcome.RAN);
    assertThat(outcome(second.bill(key, DEADLINE_MILLIS).get())).isEqualTo("0 ran");
    assertThat(endpoint.received).hasSize(1);
    peers.isDisconnected = true;
    assertThat(outcome(second.bill(key, 300).get())).isEqualTo("47 ran");
  }

  /** Guards against "not run" for a copy whose original runs at an unreachable host. */
  @Test
  void duplicateOfAnUnreachableHolderIsUnknown() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    String key = newKey();
    var original = first.bill(key, DEADLINE_MILLIS);
    endpoint.requestArrived.await();
    peers.isDisconnected = true;
    await(() -> second.claim(key).isPresent());
    assertThat(outcome(second.bill(key, 300).get())).isEqualTo("21 unknown");
    endpoint.responseGate.countDown();
    assertThat(outcome(original.get())).isEqualTo("0 ran");
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against a second run if the holder's incarnation ends while paused before the send. */
  @Test
  void pauseBetweenClaimAndSendDoesNotDoubleTheRequest() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    isPauseRequested = true;
    String key = newKey();
    var original = first.bill(key, DEADLINE_MILLIS);
    paused.await();
    endIncarnationOfFirst();
    await(
        () -> second.claim(key).filter(claim -> claim.outcome() == RunOutcome.UNKNOWN).isPresent());
    assertThat(outcome(second.bill(key, DEADLINE_MILLIS).get())).isEqualTo("21 unknown");
    isPauseRequested = false;
    resume.countDown();
    assertThat(outcome(original.get())).isEqualTo("0 ran");
    assertThat(endpoint.received).hasSize(1);
  }

  private void endIncarnationOfFirst() throws Exception {
    Batch batch =
        new Batch(
            "e1",
            Long.MAX_VALUE,
            1,
            FoldVersion.CURRENT,
            System.currentTimeMillis(),
            List.of(new EntryHostSeen("127.0.0.1:1", "127.0.0.1:1", "dc1")));
    log.append(ProposalTypes.CODEC.encode(batch));
  }

  /** Guards against one key that is accepted for two different requests. */
  @Test
  void keyOfAnotherRequestIsRefused() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.ANSWER);
    String key = newKey();
    first.bill(key, DEADLINE_MILLIS).get();
    awaitSettled(key, RunOutcome.RAN);
    for (EntryFixture entry : List.of(first, second)) {
      var other =
          entry
              .request("/bill/other")
              .header("Persimmonloom-Request-Key", key)
              .POST(HttpRequest.BodyPublishers.noBody())
              .build();
      await(() -> entry.claim(key).isPresent());
      assertThat(outcome(entry.send(other))).isEqualTo("43 not-run");
    }
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against a lost settlement when the caller disconnects while the request runs. */
  @Test
  void requestOfADisconnectedCallerFinishesAndIsSettled() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED);
    String key = newKey();
    try (var socket = new Socket("127.0.0.1", first.listener.address().getPort())) {
      String head = "POST /bill/pickup HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n";
      String keyAndBody = "Persimmonloom-Request-Key: " + key + "\r\n\r\npickup";
      socket.getOutputStream().write((head + keyAndBody).getBytes("ascii"));
      endpoint.requestArrived.await();
    }
    endpoint.responseGate.countDown();
    awaitSettled(key, RunOutcome.RAN);
    assertThat(outcome(first.bill(key, DEADLINE_MILLIS).get())).isEqualTo("0 ran");
    assertThat(endpoint.received).hasSize(1);
  }

  /** Guards against requests that a planned stop interrupts or leaves unsettled. */
  @Test
  void stopWaitsForRequestsAndSettlesUnfinishedOnesAsUnknown() throws Exception {
    FakeEndpoint endpoint = endpoint("h1", Behavior.GATED, Behavior.SILENT);
    String finishing = newKey();
    var running = first.bill(finishing, DEADLINE_MILLIS);
    endpoint.requestArrived.await();
    String unfinished = newKey();
    var stuck = first.bill(unfinished, DEADLINE_MILLIS);
    await(() -> endpoint.received.size() == 2);
    first.requests.refuseNew();
    assertThat(outcome(first.bill(newKey(), DEADLINE_MILLIS).get())).isEqualTo("16 not-run");
    var idle = first.requests.whenIdle();
    endpoint.responseGate.countDown();
    assertThat(outcome(running.get())).isEqualTo("0 ran");
    assertThat(idle).isNotDone();
    first.requests.endAll();
    assertThat(outcome(stuck.get())).endsWith("unknown");
    idle.get(5, TimeUnit.SECONDS);
    first.requests.whenSettled().get(5, TimeUnit.SECONDS);
    assertThat(first.claim(finishing).get().outcome()).isEqualTo(RunOutcome.RAN);
    assertThat(first.claim(unfinished).get().outcome()).isEqualTo(RunOutcome.UNKNOWN);
  }
}
