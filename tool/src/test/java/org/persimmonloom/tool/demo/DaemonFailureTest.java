package org.persimmonloom.tool.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.persimmonloom.tool.oracle.Oracle;
import org.persimmonloom.tool.oracle.RequestLedger;

/** Entry daemons as processes of their own, killed, paused and replaced under load. */
@Timeout(value = 58, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class DaemonFailureTest {
  private static final int DAEMONS = 4;
  private static final long SEED = 20261204;

  /** Longer than the bounds for currency (5 s) and loss (10 s), and than every caller waits. */
  private static final long PAUSE_MILLIS = 12_000;

  private static final long DRAIN_MILLIS = 12_000;

  @TempDir private Path directory;
  private final DemoDeployment deployment = DemoDeployment.DEPOT;
  private final OracleFeed feed = new OracleFeed();
  private final Platform platform = new Platform(deployment, feed);
  private final Oracle oracle = new Oracle(deployment.spare().name(), platform.homeServices());
  private final Balancer balancer = new Balancer();
  private final RolloutProbe probe = new RolloutProbe(balancer, oracle.rollout());
  private final ExecutorService executor = DemoThreads.cached("caller");
  private final Caller caller = new Caller(balancer, executor);
  private final List<EntryDaemon> daemons = new ArrayList<>();
  private DemandDriver demand;

  private void start() throws Exception {
    feed.connect(oracle);
    platform.start();
    List<EntryHostProcess.Addresses> addresses =
        Stream.generate(EntryDaemon::chooseAddresses).limit(DAEMONS).toList();
    List<InetSocketAddress> seeds =
        addresses.stream().map(EntryHostProcess.Addresses::peer).toList();
    for (EntryHostProcess.Addresses its : addresses) {
      startDaemon(its, seeds);
    }
    new SetUpCheck(deployment, balancer, caller)
        .apply(new DemoOperator("set-up", daemons.get(0)), 20_000);
    List<DemoService> services =
        deployment.services().stream()
            .filter(it -> Set.of("scan", "pickup").contains(it.name()))
            .toList();
    DemandSchedule schedule = new DemandSchedule(services.size(), 15, 1_000);
    demand =
        new DemandDriver(services, schedule, caller, oracle.requests(), new Random(SEED), executor);
    demand.start();
  }

  @AfterEach
  void stop() throws Exception {
    for (EntryDaemon daemon : daemons) {
      daemon.kill();
    }
    if (demand != null) {
      demand.stop(0);
    }
    executor.shutdownNow();
    probe.stop();
    balancer.stop();
    platform.stop();
  }

  private EntryDaemon startDaemon(
      EntryHostProcess.Addresses addresses, List<InetSocketAddress> seeds) throws IOException {
    EntryDaemon daemon = new EntryDaemon(daemons.size() + 1, addresses, seeds, platform, directory);
    daemons.add(daemon);
    balancer.add(daemon);
    probe.add(daemon);
    return daemon;
  }

  private List<EntryDaemon> up() {
    return daemons.stream().filter(EntryDaemon::isUp).toList();
  }

  private EntryDaemon startReplacement() throws IOException {
    List<InetSocketAddress> seeds = up().stream().map(EntryDaemon::peerAddress).toList();
    return startDaemon(EntryDaemon.chooseAddresses(), seeds);
  }

  private void awaitReady(EntryDaemon daemon) throws InterruptedException {
    while (!balancer.isReady(daemon)) {
      assertThat(daemon.isUp()).as("%s runs", daemon.name()).isTrue();
      Thread.sleep(50);
    }
  }

  private void killAndReplace(EntryDaemon killed) throws Exception {
    oracle.rollout().gone(killed.name());
    killed.kill();
    startReplacement();
  }

  /** Applies a note that the hosts in {@code expected} must run while they are up. */
  private void apply(String note, EntryDaemon host, List<EntryDaemon> expected) throws IOException {
    DemoOperator operator = new DemoOperator("anna", host);
    long sentMillis = System.currentTimeMillis();
    String text = DemoDeployment.probeNote(note, operator.revision());
    assertThat(operator.apply(text).isRight()).as("note %s accepted", note).isTrue();
    Set<String> names = expected.stream().map(EntryDaemon::name).collect(Collectors.toSet());
    oracle.rollout().accepted(note, sentMillis, names);
    probe.follow(note);
  }

  private void replaceAll() throws Exception {
    List<EntryDaemon> before = up();
    EntryDaemon next = startReplacement();
    for (int number = 1; number <= before.size(); number++) {
      EntryDaemon old = before.get(number - 1);
      awaitReady(next);
      if (number < before.size()) {
        next = startReplacement();
      }
      oracle.rollout().gone(old.name());
      oracle.requests().plannedStop(old.name(), System.currentTimeMillis());
      assertThat(old.stop()).as("exit code of %s", old.name()).isZero();
    }
  }

  /**
   * Guards against requests that are lost, run twice, are answered crossed or are cut off, and
   * against an entry host that goes back to an older revision, when processes fail.
   */
  @Test
  void requestsSurviveKillsPausesAndReplacement() throws Exception {
    start();
    apply("before-pause", daemons.get(0), up());
    Thread.sleep(1_000);
    EntryDaemon paused = daemons.get(2);
    paused.pause();
    long resumeMillis = System.currentTimeMillis() + PAUSE_MILLIS;
    killAndReplace(daemons.get(1));
    Thread.sleep(2_000);
    apply("while-paused", daemons.get(0), List.of(daemons.get(0), daemons.get(3)));
    awaitReady(daemons.get(DAEMONS));
    Thread.sleep(Math.max(0, resumeMillis - System.currentTimeMillis()));
    assertThat(balancer.isReady(paused)).as("the paused host takes requests").isFalse();
    paused.resume();
    awaitReady(paused);
    replaceAll();
    demand.stop(DRAIN_MILLIS);
    judge();
  }

  private void judge() throws IOException {
    RequestLedger.Counts counts = oracle.requests().counts();
    System.out.println("daemon failures: " + counts + " " + caller.results());
    String traces =
        counts.examples().values().stream()
            .flatMap(List::stream)
            .map(oracle.requests()::trace)
            .collect(Collectors.joining("\n"));
    assertThat(demand.waiting()).as("callers that never ended").isZero();
    assertThat(counts.answered()).as("answered").isPositive();
    assertThat(List.of(counts.lost(), counts.doubled(), counts.crossed(), counts.cutOff()))
        .as("lost, doubled, crossed, cut off\n%s", traces)
        .containsOnly(0L);
    assertThat(oracle.rollout().reversions()).as("answers by an older revision").isZero();
    assertThat(up()).as("replacements").hasSize(DAEMONS);
    for (EntryDaemon daemon : up()) {
      assertThat(new DemoOperator("anna", daemon).revision()).as(daemon.name()).isEqualTo(3);
    }
  }
}
