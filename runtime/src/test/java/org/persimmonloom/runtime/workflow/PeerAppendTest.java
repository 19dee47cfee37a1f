package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.QueuePolicy;
import org.persimmonloom.core.workflow.Resources;
import org.persimmonloom.core.workflow.StepSpec;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowState;

/** Tests two entry hosts of which one cannot use the platform's log. */
class PeerAppendTest {
  private static final LongSupplier CLOCK = WorkflowHost.steadyClock();

  /** Long timeouts, since the tests must not depend on the speed of the machine. */
  private static final SubmissionLimits LIMITS = new SubmissionLimits(500, 100, 8_000);

  private static final WorkflowMetrics METRICS = new WorkflowMetrics();

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final FakeKeyedLog isolatedLog = new FakeKeyedLog();
  private final HostDirectory directory = new HostDirectory("isolated");
  private final Host helper = new Host(log, new HostDirectory("helper"));
  private final Host isolated = new Host(isolatedLog, directory);
  private PeerServer server;
  private String helperAddress;
  private volatile boolean mayClaim = true;

  /** The components of an entry host that accept workflows. */
  private static final class Host {
    final WorkflowReplica workflows = new WorkflowReplica();
    final TableFollower follower;
    final TableWriter writer;
    final SubmissionService submissions;
    final OperationsReplica operations = new OperationsReplica(new FakeConfigurations(), CLOCK);
    final TableFollower configurationFollower;
    final ConfigurationVerifier verifier;

    Host(FakeKeyedLog log, HostDirectory directory) {
      follower = new TableFollower(log, Table.WORKFLOWS, workflows, CLOCK, 0, 20);
      configurationFollower = new TableFollower(log, Table.OPERATIONS, operations, CLOCK, 0, 20);
      verifier =
          new ConfigurationVerifier(
              operations,
              configurationFollower,
              new PeerClient(new OkHttpClient()),
              directory,
              CLOCK);
      writer = new TableWriter(log, Table.WORKFLOWS, "host", 1, METRICS, CLOCK);
      submissions =
          new SubmissionService(
              workflows,
              follower,
              writer,
              new PeerClient(new OkHttpClient()),
              directory,
              LIMITS,
              METRICS,
              CLOCK);
    }
  }

  @BeforeEach
  void start() throws IOException {
    InetSocketAddress address;
    try (ServerSocket socket = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
    server =
        new PeerServer(
            log,
            helper.submissions,
            helper.verifier,
            helper.writer,
            METRICS,
            () -> mayClaim,
            CLOCK,
            address);
    server.start();
    helper.writer.start();
    helper.follower.start();
    isolated.writer.start();
    isolatedLog.isDown = true;
    helperAddress = "127.0.0.1:" + address.getPort();
    TableRecord registration =
        new HostDirectory("helper").registration(new HostRecord(helperAddress, 1));
    directory.apply(new StoredRecord(0, registration));
  }

  @AfterEach
  void stop() {
    server.stop();
    helper.writer.stop();
    helper.follower.stop();
    isolated.writer.stop();
  }

  /** Returns a workflow with one task for the service {@code s}. */
  static WorkflowSpec workflow() {
    StepSpec step =
        new StepSpec(
            1,
            new Resources(1, 1, 0),
            1,
            List.of(),
            false,
            false,
            false,
            "",
            "",
            0,
            false,
            false,
            "",
            0,
            false,
            0);
    QueuePolicy policy = new QueuePolicy("q", "s", 0, 3, 1, 1, 0);
    return new WorkflowSpec("f1", policy, "", List.of(step), 0, 0, 0, 0);
  }

  /** Guards against refusals by a host that cannot use the log while other hosts can. */
  @Test
  void submissionIsAcceptedThroughAnotherHost() throws Exception {
    assertThat(isolated.submissions.submit(workflow()).get(5, TimeUnit.SECONDS))
        .isEqualTo(SubmissionService.Result.ACCEPTED);
    assertThat(log.records(Table.WORKFLOWS)).hasSize(1);
  }

  /** Guards against an outdated state on a host that cannot read the log. */
  @Test
  void stateIsReadFromAnotherHost() throws Exception {
    isolated.submissions.submit(workflow()).get(5, TimeUnit.SECONDS);
    long until = CLOCK.getAsLong() + 5_000;
    while (helper.workflows.state("f1").isEmpty() && CLOCK.getAsLong() < until) {
      TimeUnit.MILLISECONDS.sleep(10);
    }
    assertThat(isolated.submissions.lookUp("f1").state()).contains(WorkflowState.PENDING);
  }

  /** Guards against a wrong refusal, and against a caller that waits although no host can write. */
  @Test
  void submissionIsRefusedWhenNoHostReachesTheLog() throws Exception {
    log.isDown = true;
    assertThat(isolated.submissions.submit(workflow()).get(10, TimeUnit.SECONDS))
        .isEqualTo(SubmissionService.Result.REFUSED);
    assertThat(log.records(Table.WORKFLOWS)).isEmpty();
  }

  /** Guards against a refusal of a submission whose own append may have taken effect. */
  @Test
  void submissionIsNotRefusedWhileOwnAppendIsUnknown() throws Exception {
    isolatedLog.isDown = false;
    isolatedLog.lostResponses = Integer.MAX_VALUE;
    log.isDown = true;
    assertThat(
            isolated
                .submissions
                .submit(workflow())
                .completeOnTimeout(null, 3, TimeUnit.SECONDS)
                .get(5, TimeUnit.SECONDS))
        .isNull();
  }

  /** Guards against a term that ends because the store turns only the owner away. */
  @Test
  void ownershipIsAppendedThroughAnotherHost() {
    PeerOwnershipRelay relay =
        new PeerOwnershipRelay(new PeerClient(new OkHttpClient()), directory);
    TableRecord record = new TableRecord("fleet", new byte[] {1});
    assertThat(relay.appendAt(0, record)).isEqualTo(new AppendResult.Appended(0, 1));
    assertThat(relay.appendAt(0, record)).isEqualTo(new AppendResult.Conflict(1));
    log.isDown = true;
    assertThat(relay.appendAt(1, record)).isInstanceOf(AppendResult.Refused.class);
    log.isDown = false;
    log.lostResponses = 1;
    assertThat(relay.appendAt(1, record)).isInstanceOf(AppendResult.Unknown.class);
    server.stop();
    assertThat(relay.appendAt(2, record)).isInstanceOf(AppendResult.Refused.class);
    assertThat(log.records(Table.OWNERSHIP)).hasSize(2);
  }

  /** Guards against a handover to a host that would not claim the ownership. */
  @Test
  void peerReportsWhetherItMayClaimOwnership() {
    PeerClient link = new PeerClient(new OkHttpClient());
    assertThat(link.mayClaim(helperAddress)).isTrue();
    mayClaim = false;
    assertThat(link.mayClaim(helperAddress)).isFalse();
    server.stop();
    assertThat(link.mayClaim(helperAddress)).isFalse();
  }

  /**
   * Guards against a submission without an answer, because a registered address cannot be called.
   */
  @Test
  void hostWithAnOddAddressIsNotCalled() throws Exception {
    for (String address : List.of("nowhere:99999", "", "a b", "10.0.0.1:-1")) {
      TableRecord odd = new HostDirectory("a").registration(new HostRecord(address, 1));
      directory.apply(new StoredRecord(1, odd));
      assertThat(directory.otherAddresses()).containsExactly(helperAddress);
    }
    assertThat(isolated.submissions.submit(workflow()).get(20, TimeUnit.SECONDS))
        .isEqualTo(SubmissionService.Result.ACCEPTED);
  }
}
