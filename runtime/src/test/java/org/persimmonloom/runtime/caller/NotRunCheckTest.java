package org.persimmonloom.runtime.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.persimmonloom.runtime.caller.EntryFixture.await;
import static org.persimmonloom.runtime.caller.EntryFixture.newKey;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.http.HttpResponse;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.claim.ClaimStatus;
import org.persimmonloom.core.claim.CompleteResponse;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.result.RunOutcome;

class NotRunCheckTest {
  private static final Failure REASON = Failure.of(ResultCode.CLAIM_UNAVAILABLE, 2_000);

  private final MemoryLog log = new MemoryLog();
  private final MemoryPeers peers = new MemoryPeers();
  private EntryFixture first;
  private EntryFixture second;

  /**
   * Replies of the other entry host to successive queries, and the outcome reported to the caller.
   */
  enum Reply {
    NO_COPY(RunOutcome.NOT_RUN, ClaimStatus.Kind.NOT_KNOWN),
    ALSO_ABANDONED(RunOutcome.NOT_RUN, ClaimStatus.Kind.ABANDONED),
    RUNS_AND_ENDS_UNKNOWN(
        RunOutcome.UNKNOWN, ClaimStatus.Kind.RUNNING, ClaimStatus.Kind.OUTCOME_UNKNOWN),
    RAN_LONG_AGO(RunOutcome.RAN, ClaimStatus.Kind.ANSWER_GONE),
    RUNS_AND_ANSWERS(RunOutcome.RAN, ClaimStatus.Kind.RUNNING, ClaimStatus.Kind.ANSWERED),
    UNREACHABLE(RunOutcome.UNKNOWN);

    private final RunOutcome expected;
    private final List<ClaimStatus.Kind> kinds;

    Reply(RunOutcome expected, ClaimStatus.Kind... kinds) {
      this.expected = expected;
      this.kinds = List.of(kinds);
    }

    ClaimStatus status(int question) {
      ClaimStatus.Kind kind = kinds.get(Math.min(question, kinds.size() - 1));
      return kind == ClaimStatus.Kind.ANSWERED
          ? new ClaimStatus(kind, new CompleteResponse(200, List.of(), new byte[] {1}))
          : ClaimStatus.of(kind);
    }
  }

  @BeforeEach
  void start() throws Exception {
    first = new EntryFixture("e1", log, peers);
    second = new EntryFixture("e2", log, peers);
    first.release();
    await(() -> second.routing.find("bill").isRight());
    await(() -> first.state.read(fleet -> fleet.entryHosts().live().size() == 2));
  }

  @AfterEach
  void stop() throws Exception {
    first.close();
    second.close();
  }

  /**
   * Guards against the answer "not run" while a copy runs, ran or may run at another entry host.
   */
  @ParameterizedTest
  @EnumSource(Reply.class)
  void notRunIsReportedOnlyIfNoOtherHostRunsACopy(Reply reply) throws Exception {
    AtomicInteger questions = new AtomicInteger();
    peers
        .channel("e2")
        .handle(
            KeyQuestion.KIND,
            (peer, question) ->
                CompletableFuture.completedFuture(
                    ProposalTypes.CODEC.encode(reply.status(questions.getAndIncrement()))));
    peers.isDisconnected = reply == Reply.UNREACHABLE;
    RequestTimer timer = new RequestTimer();
    RequestContext context =
        new RequestContext(
            first.routing,
            new RequestMetrics(new PrometheusRegistry()),
            timer,
            InstantSource.system(),
            null);
    CallerAnswer answer =
        new NotRunCheck(first.state, peers.channel("e1"), "e1", context)
            .check(new KeyQuestion("bill", newKey()), "c1", REASON, context.now() + 60_000)
            .get()
            .get();
    timer.stop();
    assertThat(answer.run()).isEqualTo(reply.expected);
  }

  /** Guards against a copy that runs after the other copy was answered "not run". */
  @Test
  void undecidedCopiesAreAbandonedTogether() throws Exception {
    try (FakeEndpoint endpoint = new FakeEndpoint(FakeEndpoint.Behavior.ANSWER)) {
      first.admit("bill-pool", "h1", endpoint.address());
      second.awaitRouted(endpoint.address());
      log.set(MemoryLog.Mode.SLOW);
      String key = newKey();
      CompletableFuture<HttpResponse<String>> longDeadline = second.bill(key, 60_000);
      HttpResponse<String> shortDeadline = first.bill(key, 300).get();
      assertThat(shortDeadline.headers().firstValue("Persimmonloom-Run")).contains("not-run");
      assertThat(longDeadline.get().headers().firstValue("Persimmonloom-Run")).contains("not-run");
      log.set(MemoryLog.Mode.UP);
      await(
          () ->
              first.claim(key).filter(claim -> claim.state() == Claim.State.RELEASED).isPresent());
      await(
          () ->
              second.claim(key).filter(claim -> claim.state() == Claim.State.RELEASED).isPresent());
      assertThat(endpoint.received).isEmpty();
    }
  }
}
