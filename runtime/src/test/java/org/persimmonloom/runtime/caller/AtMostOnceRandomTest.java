package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.runtime.caller.EntryFixture.newKey;
import static org.persimmonloom.runtime.caller.EntryFixture.outcome;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.persimmonloom.runtime.caller.FakeEndpoint.Behavior;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class AtMostOnceRandomTest {
  private static final int KEYS = 300;
  private static final Behavior[] FAULTS = {
    Behavior.CLOSE, Behavior.SHORT, Behavior.CROSSED, Behavior.UNFRAMED, Behavior.RETRY_NOW
  };

  /**
   * Guards against faults of the log, the peers and the endpoints that run a request twice, or that
   * make an answer contradict the requests which the endpoints received.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void requestRunsAtMostOnceAndAnswersMatchTheEndpoints(long seed) throws Exception {
    Random random = new Random(seed);
    MemoryLog log = new MemoryLog();
    MemoryPeers peers = new MemoryPeers();
    try (EntryFixture first = new EntryFixture("e1", log, peers);
        EntryFixture second = new EntryFixture("e2", log, peers);
        FakeEndpoint firstEndpoint = new FakeEndpoint(script(random));
        FakeEndpoint secondEndpoint = new FakeEndpoint(script(random))) {
      first.release();
      for (FakeEndpoint endpoint : List.of(firstEndpoint, secondEndpoint)) {
        first.admit("bill-pool", "h" + endpoint.address(), endpoint.address());
        second.awaitRouted(endpoint.address());
      }
      Map<String, List<CompletableFuture<HttpResponse<String>>>> copies = new HashMap<>();
      for (int i = 0; i < KEYS; i++) {
        injectFaults(random, log, peers);
        String key = newKey();
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int copy = random.nextInt(3); copy >= 0; copy--) {
          EntryFixture entry = random.nextBoolean() ? first : second;
          sent.add(entry.bill(key, 50 + random.nextInt(2_000)));
        }
        copies.put(key, sent);
        Thread.sleep(random.nextInt(8));
      }
      log.set(MemoryLog.Mode.UP);
      for (var sent : copies.entrySet()) {
        List<String> outcomes = new ArrayList<>();
        for (var copy : sent.getValue()) {
          outcomes.add(outcome(copy.get()));
        }
        check(
            sent.getKey(),
            outcomes,
            runs(firstEndpoint, sent.getKey()) + runs(secondEndpoint, sent.getKey()));
      }
    }
  }

  private static Behavior[] script(Random random) {
    Behavior[] script = new Behavior[4 * KEYS];
    for (int i = 0; i < script.length; i++) {
      script[i] = random.nextInt(4) == 0 ? FAULTS[random.nextInt(FAULTS.length)] : Behavior.ANSWER;
    }
    return script;
  }

  private static void injectFaults(Random random, MemoryLog log, MemoryPeers peers) {
    if (random.nextInt(10) == 0) {
      MemoryLog.Mode[] modes = MemoryLog.Mode.values();
      log.set(modes[random.nextInt(modes.length)]);
    }
    peers.isDisconnected = random.nextInt(4) == 0;
  }

  private static long runs(FakeEndpoint endpoint, String key) {
    return endpoint.received.stream()
        .filter(request -> key.equals(request.headers().get("persimmonloom-request-key")))
        .count();
  }

  private static void check(String key, List<String> outcomes, long runs) {
    String description = key + " " + outcomes;
    assertThat(runs).as(description).isLessThanOrEqualTo(1);
    if (outcomes.stream().anyMatch(outcome -> outcome.endsWith(" ran"))) {
      assertThat(runs).as(description).isEqualTo(1);
    }
    if (outcomes.stream().allMatch(outcome -> outcome.endsWith("not-run"))) {
      assertThat(runs).as(description).isZero();
    }
  }
}
