package org.persimmonloom.tool.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.entry.DaggerEntryComponent;
import org.persimmonloom.runtime.entry.EntryHostService;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.runtime.settings.EntrySettings;
import org.persimmonloom.tool.command.OperatorClient;

/** Runs jobs through two entry hosts and three stand-ins of workers over HTTP. */
class JobsEndToEndTest {
  private static final String NOTE =
      """
      [release]
      name = jobs
      [add pool executors]
      kind = executors
      [add pool workers]
      kind = workers
      [add service nightly]
      pool = executors
      workers = workers
      [add team alpha]
      quota_cores = 40
      """;

  private static final int WORKERS = 3;
  private static final long PATIENCE_MILLIS = 60_000;

  private final TaskLedger ledger = new TaskLedger();
  private final List<WorkerStandIn> workers = new ArrayList<>();
  private final List<EntryHostService> entryHosts = new ArrayList<>();
  private final List<String> submitted = new ArrayList<>();
  private LogStandIn log;
  private HostListStandIn hostList;
  private OperatorClient operator;

  @BeforeEach
  void start() throws IOException {
    InetSocketAddress logAddress = free();
    log = new LogStandIn(logAddress);
    log.start();
    List<HostFacts> facts = new ArrayList<>();
    for (int i = 1; i <= WORKERS; i++) {
      HostFacts worker =
          new HostFacts(
              "w" + i, HostKind.WORKER, text(free()), "r1", "dc1", "local", 4, 4_096, 0, "workers");
      facts.add(worker);
      WorkerStandIn standIn =
          new WorkerStandIn(worker, InstantSource.system(), ledger, this::behaviour);
      standIn.start();
      workers.add(standIn);
    }
    InetSocketAddress listAddress = free();
    hostList = new HostListStandIn(listAddress, new HostList(facts, Set.of()));
    hostList.start();
    for (int i = 1; i <= 2; i++) {
      InetSocketAddress operatorAddress = free();
      EntrySettings settings =
          new EntrySettings(
              "entry-" + i,
              "dc1",
              "local",
              free(),
              operatorAddress,
              free(),
              List.of(),
              "token",
              "http://" + text(logAddress),
              "http://" + text(listAddress),
              0,
              1_000,
              3_600_000);
      EntryHostService entryHost =
          DaggerEntryComponent.factory().create(settings, InstantSource.system()).entryHost();
      entryHost.start();
      entryHosts.add(entryHost);
      operator = new OperatorClient(text(operatorAddress), "token");
    }
    await(() -> applyRelease());
  }

  private boolean applyRelease() {
    return operator
        .post("/release?operator=test", NOTE)
        .fold(failure -> failure.code() == ResultCode.ALREADY_APPLIED, text -> true);
  }

  private TaskBehaviour behaviour(String kind) {
    return switch (kind) {
      case "hungry" -> new TaskBehaviour(200, 1, 1_500, "");
      case "bad" -> new TaskBehaviour(100, 1, 100, "exit 1");
      case "long" -> TaskBehaviour.succeeding(120_000);
      default -> TaskBehaviour.succeeding(200);
    };
  }

  @AfterEach
  void stop() throws InterruptedException {
    for (EntryHostService entryHost : entryHosts) {
      entryHost.stop();
    }
    workers.forEach(WorkerStandIn::stop);
    hostList.stop();
    log.stop();
  }

  private static InetSocketAddress free() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  private String submit(String kind, int cores, boolean isUrgent) {
    String name = System.currentTimeMillis() + "-e2e%05d".formatted(submitted.size());
    JobSpec spec =
        new JobSpec(
            name, "alpha", kind, "nightly", new JobSize(cores, 512, 0), 1_000, isUrgent, true);
    submitted.add(name);
    await(() -> isSubmitted(spec));
    return name;
  }

  private boolean isSubmitted(JobSpec spec) {
    return operator
        .post("/jobs", ProposalTypes.CODEC.toJson(spec))
        .fold(failure -> failure.code() == ResultCode.ALREADY_APPLIED, text -> true);
  }

  private boolean isIn(String job, String state) {
    return operator
        .get("/jobs/" + job)
        .map(text -> text.contains("\"state\":\"" + state + "\""))
        .getOrElse(false);
  }

  /** Fails with the states of all jobs if the condition does not come true. */
  private void await(BooleanSupplier condition) {
    long deadline = System.nanoTime() + PATIENCE_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError(operator.get("/jobs").fold(Object::toString, text -> text));
      }
      try {
        Thread.sleep(100);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** Guards against doubled or lost jobs when answers are lost and an entry host stops. */
  @Test
  void jobsRunOnceAlthoughAnswersAreLostAndAnEntryHostStops() throws InterruptedException {
    workers.forEach(worker -> worker.loseEveryAnswer(3));
    for (int i = 0; i < 6; i++) {
      submit("plain", 2, false);
    }
    entryHosts.remove(0).stop();
    submitted.forEach(job -> await(() -> isIn(job, "FINISHED")));
    assertThat(ledger.overlapping()).isEmpty();
    assertThat(ledger.succeededTwice()).isEmpty();
    assertThat(submitted).allSatisfy(job -> assertThat(ledger.starts(job)).isEqualTo(1));
  }

  /** Guards against jobs that a broken worker or a too small declaration keeps from finishing. */
  @Test
  void jobsFinishBesideABrokenWorkerAndWithTooLittleMemory() {
    workers.get(0).failEverything(true);
    String hungry = submit("hungry", 1, false);
    String plain = submit("plain", 1, false);
    String bad = submit("bad", 1, false);
    await(() -> isIn(hungry, "FINISHED") && isIn(plain, "FINISHED") && isIn(bad, "PARKED"));
    assertThat(ledger.overlapping()).isEmpty();
    assertThat(ledger.succeededTwice()).isEmpty();
    assertThat(ledger.starts(bad)).isEqualTo(WORKERS);
  }

  /** Guards against urgent work that waits for long work, and orphans after a cancellation. */
  @Test
  void urgentJobPreemptsAndCancelledJobsLeaveNothingRunning() {
    for (int i = 0; i < WORKERS; i++) {
      submit("long", 4, false);
    }
    submitted.forEach(job -> await(() -> isIn(job, "RUNNING")));
    String urgent = submit("plain", 4, true);
    await(() -> isIn(urgent, "FINISHED"));
    for (String job : submitted.subList(0, WORKERS)) {
      await(() -> operator.post("/jobs/" + job + "/cancel?operator=test", "").isRight());
    }
    submitted.subList(0, WORKERS).forEach(job -> await(() -> isIn(job, "CANCELLED")));
    assertThat(ledger.running()).isZero();
    assertThat(ledger.overlapping()).isEmpty();
    assertThat(ledger.succeededTwice()).isEmpty();
  }
}
