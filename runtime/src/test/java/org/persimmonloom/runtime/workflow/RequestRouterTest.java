package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests decisions about routes on a host that the store may turn away, beside one that it serves.
 */
class RequestRouterTest {
  private static final int FLOOD = 500;
  private static final WorkflowMetrics METRICS = new WorkflowMetrics();

  private final FakeKeyedLog log = new FakeKeyedLog();
  private final CutOffLog helperLog = new CutOffLog(log);
  private final CutOffLog hostLog = new CutOffLog(log);
  private final AtomicLong skippedMillis = new AtomicLong();
  private final LongSupplier clock =
      () -> WorkflowHost.steadyClock().getAsLong() + skippedMillis.get();
  private final Host helper = new Host(helperLog);
  private final Host host = new Host(hostLog);
  private PeerServer server;
  private long written;

  /** The components of an entry host that decide about routes. */
  private final class Host {
    final HostDirectory directory = new HostDirectory("own");
    final OperationsReplica operations = new OperationsReplica(new FakeConfigurations(), clock);
    final TableFollower follower;
    final ConfigurationVerifier verifier;
    final RequestRouter router;

    Host(KeyedLog log) {
      follower = new TableFollower(log, Table.OPERATIONS, operations, clock, 0, 20);
      PeerClient peers = new PeerClient(new OkHttpClient());
      verifier = new ConfigurationVerifier(operations, follower, peers, directory, clock);
      router = new RequestRouter(operations, follower, verifier, METRICS, clock);
    }

    void load() throws InterruptedException {
      follower.start();
      while (!follower.isLoaded()) {
        TimeUnit.MILLISECONDS.sleep(5);
      }
    }

    RequestRouter.Routing route(String path) throws Exception {
      return router.route(FakeConfigurations.HOST_NAME, path).get(20, TimeUnit.SECONDS);
    }

    void stop() {
      follower.stop();
      verifier.stop();
    }
  }

  @BeforeEach
  void start() throws IOException, InterruptedException {
    InetSocketAddress address;
    try (ServerSocket socket = new ServerSocket(0)) {
      address = new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
    server = new PeerServer(log, null, helper.verifier, null, METRICS, () -> true, clock, address);
    server.start();
    String helperAddress = "127.0.0.1:" + address.getPort();
    host.directory.apply(
        new StoredRecord(
            0, new HostDirectory("helper").registration(new HostRecord(helperAddress, 1))));
    write(7, "/a/");
    helper.load();
    host.load();
  }

  @AfterEach
  void stop() {
    server.stop();
    helper.stop();
    host.stop();
  }

  private void write(long version, String... prefixes) {
    written++;
    log.append(
        Table.OPERATIONS,
        new KeyedLog.Sequence("operator", 1, written),
        List.of(FakeConfigurations.record(version, prefixes)));
  }

  /** Lets the time pass after which no decision can rely on earlier reads. */
  private void outdate() {
    skippedMillis.addAndGet(RequestRouter.MAX_AGE_OF_KNOWN_MILLIS + 1);
  }

  /**
   * Guards against 404 for a route that a confirmed version has added, from a host that the store
   * turns away while it serves the others.
   */
  @Test
  void addedRouteIsKnownToAHostThatTheStoreTurnsAway() throws Exception {
    hostLog.cut = CutOffLog.Cut.REFUSED;
    write(9, "/a/", "/b/");
    outdate();
    assertThat(host.route("/b/1")).isInstanceOf(RequestRouter.Routing.Found.class);
    assertThat(host.route("/c/1")).isInstanceOf(RequestRouter.Routing.Unknown.class);
  }

  /** Guards against the same if the store answers this host nothing. */
  @Test
  void addedRouteIsKnownToAHostThatGetsNoAnswers() throws Exception {
    hostLog.cut = CutOffLog.Cut.SILENT;
    write(9, "/a/", "/b/");
    outdate();
    assertThat(host.route("/b/1")).isInstanceOf(RequestRouter.Routing.Found.class);
  }

  /** Guards against work for a route that was removed, or for the service that it had before. */
  @Test
  void removedRouteIsUnknownToAHostThatTheStoreTurnsAway() throws Exception {
    hostLog.cut = CutOffLog.Cut.REFUSED;
    write(9, "/b/");
    outdate();
    assertThat(host.route("/a/1")).isInstanceOf(RequestRouter.Routing.Unknown.class);
  }

  /**
   * Guards against work for a route that was removed, because the first other host that is asked
   * stands still while another one would answer.
   */
  @Test
  void hostThatStandsStillDelaysNoAnswerOfAnother() throws Exception {
    try (ServerSocket standing = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + standing.getLocalPort();
      // Its name sorts before that of the other host, so that it is the first one.
      host.directory.apply(
          new StoredRecord(
              1, new HostDirectory("a-standing").registration(new HostRecord(address, 1))));
      hostLog.cut = CutOffLog.Cut.REFUSED;
      write(9, "/b/");
      outdate();
      assertThat(host.route("/a/1")).isInstanceOf(RequestRouter.Routing.Unknown.class);
    }
  }

  /** Guards against a 404 by a configuration that nobody has confirmed. */
  @Test
  void routeIsNotSaidToBeUnknownIfNoHostReachesTheStore() throws Exception {
    hostLog.cut = CutOffLog.Cut.REFUSED;
    helperLog.cut = CutOffLog.Cut.REFUSED;
    outdate();
    assertThat(host.route("/b/1")).isInstanceOf(RequestRouter.Routing.Unconfirmed.class);
    assertThat(host.route("/a/1")).isInstanceOf(RequestRouter.Routing.Found.class);
  }

  /** Guards against an older version that replaces a newer one, here that of another host. */
  @Test
  void olderVersionOfAnotherHostIsNotTaken() throws Exception {
    helperLog.cut = CutOffLog.Cut.REFUSED;
    TimeUnit.MILLISECONDS.sleep(100);
    write(9, "/a/", "/b/");
    outdate();
    assertThat(host.route("/b/1")).isInstanceOf(RequestRouter.Routing.Found.class);
    hostLog.cut = CutOffLog.Cut.REFUSED;
    outdate();
    assertThat(host.route("/b/1")).isInstanceOf(RequestRouter.Routing.Found.class);
    assertThat(host.operations.configuration().orElseThrow().version()).isEqualTo(9);
  }

  /** Guards against a 404 that cannot be explained: by which configuration, and how old it was. */
  @Test
  void requestWithoutARouteIsLoggedWithTheAgeOfTheConfiguration() throws Exception {
    hostLog.cut = CutOffLog.Cut.REFUSED;
    try (LogLines lines = new LogLines("event=route_unknown")) {
      host.route("/b/\n1");
      assertThat(lines.poll(1_000))
          .contains("path=/b/?1 version=7 offset=0 age_ms=")
          .contains("read_age_ms=")
          .contains("loads=1");
    }
  }

  /** Guards against a flood of unknown paths that fills the log or loads the store. */
  @Test
  void floodOfUnknownPathsCausesFewLinesAndReads() throws Exception {
    host.follower.stop();
    long readsBefore = hostLog.reads.get();
    long startMillis = clock.getAsLong();
    try (LogLines lines = new LogLines("event=route_unknown")) {
      for (int i = 0; i < FLOOD; i++) {
        assertThat(host.route("/b/" + i)).isInstanceOf(RequestRouter.Routing.Unknown.class);
      }
      long seconds = 1 + (clock.getAsLong() - startMillis) / 1_000;
      assertThat(lines.rest()).hasSizeBetween(1, (int) (50 * seconds));
      assertThat(hostLog.reads.get() - readsBefore).isLessThan(10 * seconds);
    }
  }
}
