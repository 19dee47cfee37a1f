package org.persimmonloom.tool.demo;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.tool.oracle.Oracle;
import org.persimmonloom.tool.oracle.OracleVerdict;
import org.persimmonloom.tool.standin.FreePorts;

/**
 * One run of the demo: the platform's stand-ins, the entry hosts, the demand and the steps. Methods
 * that steps use are safe for any thread.
 */
public final class DemoRun {
  private static final int ENTRY_HOSTS = 8;
  private static final double MEAN_PER_SECOND = 40;
  private static final long READY_MILLIS = 15_000;
  private static final long DRAIN_MILLIS = 13_000;
  private static final long STOP_MILLIS = 3_000;
  private static final long PROGRESS_MILLIS = 2_000;
  private static final long SAMPLE_MILLIS = 200;

  private final DemoOptions options;
  private final PrintStream out;
  private final Random random;
  private final Oracle oracle;
  private final Platform platform;
  private final Balancer balancer = new Balancer();
  private final RolloutProbe probe;
  private final ExecutorService callers = DemoThreads.cached("caller");
  private final ExecutorService steps = DemoThreads.cached("step");
  private final ScheduledExecutorService timer = DemoThreads.scheduled("demo-timer", 2);
  private final Caller caller = new Caller(balancer, callers);
  private final DemandDriver demand;
  private final List<EntryHostProcess> hosts = new ArrayList<>();
  private final AtomicInteger hostNumber = new AtomicInteger();
  private final AtomicInteger runningSteps = new AtomicInteger();
  private final long createdMillis = System.currentTimeMillis();

  /** Creates a run that prints its progress. */
  public DemoRun(DemoOptions options, PrintStream out) {
    this.options = options;
    this.out = out;
    this.random = new Random(options.seed());
    OracleFeed feed = new OracleFeed();
    this.platform = new Platform(options.deployment(), feed);
    this.oracle = new Oracle(options.deployment().spare().name(), platform.homeServices());
    feed.connect(oracle);
    this.probe = new RolloutProbe(balancer, oracle.rollout());
    List<DemoService> services = options.deployment().services();
    long turnMillis = options.seconds() * 1_000 / services.size();
    this.demand =
        new DemandDriver(
            services,
            new DemandSchedule(services.size(), MEAN_PER_SECOND, turnMillis),
            caller,
            oracle.requests(),
            random,
            callers);
  }

  /** Runs the script to its end and judges it. */
  public OracleVerdict run(List<ScheduledStep> script) throws IOException, InterruptedException {
    try {
      setUp();
      demand.start();
      timer.scheduleAtFixedRate(oracle.usage()::sample, 0, SAMPLE_MILLIS, TimeUnit.MILLISECONDS);
      timer.scheduleAtFixedRate(
          this::printProgress, PROGRESS_MILLIS, PROGRESS_MILLIS, TimeUnit.MILLISECONDS);
      schedule(script);
      Thread.sleep(options.seconds() * 1_000);
      finish(script.size());
      return oracle.verdict();
    } finally {
      tearDown();
    }
  }

  private void setUp() throws IOException, InterruptedException {
    progress(options.toString());
    platform.start();
    List<EntryHostProcess.Addresses> addresses = new ArrayList<>();
    List<InetSocketAddress> ports = FreePorts.choose(3 * ENTRY_HOSTS);
    for (int i = 0; i < ENTRY_HOSTS; i++) {
      addresses.add(
          new EntryHostProcess.Addresses(
              ports.get(3 * i), ports.get(3 * i + 1), ports.get(3 * i + 2)));
    }
    List<InetSocketAddress> seeds =
        addresses.stream().map(EntryHostProcess.Addresses::peer).toList();
    for (EntryHostProcess.Addresses its : addresses) {
      startEntryHost(its, seeds);
    }
    new SetUpCheck(options.deployment(), balancer, caller)
        .apply(new DemoOperator("set-up", host(0)), READY_MILLIS);
    progress("entry hosts ready, first release note in force");
  }

  private EntryHostProcess startEntryHost(
      EntryHostProcess.Addresses addresses, List<InetSocketAddress> seeds) throws IOException {
    int number = hostNumber.getAndIncrement();
    EntryHostProcess host =
        new EntryHostProcess(
            "entry-" + (number + 1),
            DemoDeployment.dataCentre(number),
            options.deployment().region(),
            addresses,
            seeds,
            platform);
    host.start();
    synchronized (hosts) {
      hosts.add(host);
    }
    balancer.add(host);
    probe.add(host);
    return host;
  }

  private List<EntryHostProcess> up() {
    synchronized (hosts) {
      return hosts.stream().filter(EntryHostProcess::isUp).toList();
    }
  }

  /** Starts one more entry host. */
  public EntryHostProcess startReplacement() throws IOException {
    List<InetSocketAddress> ports = FreePorts.choose(3);
    List<InetSocketAddress> seeds = up().stream().map(EntryHostProcess::peerAddress).toList();
    return startEntryHost(
        new EntryHostProcess.Addresses(ports.get(0), ports.get(1), ports.get(2)), seeds);
  }

  private void schedule(List<ScheduledStep> script) {
    runningSteps.set(script.size());
    for (ScheduledStep scheduled : script) {
      long delayMillis = (long) (scheduled.at() * options.seconds() * 1_000);
      timer.schedule(
          () -> steps.execute(() -> runStep(scheduled.step())), delayMillis, TimeUnit.MILLISECONDS);
    }
  }

  private void runStep(DemoStep step) {
    progress("step: " + step.description());
    try {
      step.run(this);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      oracle.stepFailed(step.description(), "interrupted");
    } catch (Exception e) {
      oracle.stepFailed(step.description(), String.valueOf(e.getMessage()));
    } finally {
      runningSteps.decrementAndGet();
    }
  }

  private void finish(int stepCount) throws InterruptedException {
    progress("demand ends");
    long deadline = System.currentTimeMillis() + DRAIN_MILLIS;
    demand.stop(DRAIN_MILLIS);
    while (runningSteps.get() > 0 && System.currentTimeMillis() < deadline) {
      Thread.sleep(SAMPLE_MILLIS);
    }
    callers.shutdownNow();
    callers.awaitTermination(1, TimeUnit.SECONDS);
    if (demand.waiting() > 0) {
      oracle.stepFailed("drain", demand.waiting() + " callers never ended");
    }
    if (runningSteps.get() > 0) {
      oracle.stepFailed("script", runningSteps.get() + " of " + stepCount + " steps did not end");
    }
    progress("answers by status and result code: " + caller.results());
    progress(
        "log: %d appends, at most %d in a second, %d refused by its limit"
            .formatted(
                platform.log().appends(),
                platform.log().highestAppendsInSecond(),
                platform.log().refusedAppends()));
    oracle.verdict().requests().examples().values().stream()
        .flatMap(keys -> keys.stream().limit(2))
        .forEach(key -> progress("trace " + oracle.requests().trace(key)));
  }

  private void printProgress() {
    OracleVerdict now = oracle.verdict();
    progress(
        "peak=%s waiting=%d answered=%d not_run=%d unknown=%d short_p99_ms=%d"
            .formatted(
                demand.peak().name(),
                demand.waiting(),
                now.requests().answered(),
                now.requests().notRun(),
                now.requests().unknown(),
                now.requests().shortP99Millis()));
  }

  private void tearDown() throws InterruptedException {
    timer.shutdownNow();
    steps.shutdownNow();
    probe.stop();
    balancer.stop();
    ExecutorService stops = DemoThreads.cached("tear-down");
    for (EntryHostProcess host : up()) {
      host.gate().thaw();
      stops.execute(() -> stop(host));
    }
    stops.shutdown();
    stops.awaitTermination(STOP_MILLIS, TimeUnit.MILLISECONDS);
    platform.stop();
  }

  private static void stop(EntryHostProcess host) {
    try {
      host.stop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Prints a progress line with the time since the start. */
  public void progress(String text) {
    synchronized (out) {
      out.printf("%6.1f s  %s%n", (System.currentTimeMillis() - createdMillis) / 1_000.0, text);
    }
  }

  /** Applies a note and follows its roll-out if it is accepted. Returns why it is refused. */
  public Optional<Failure> apply(DemoOperator operator, String name, long basedOn)
      throws IOException {
    long sentMillis = System.currentTimeMillis();
    Either<Failure, String> result = operator.apply(DemoDeployment.probeNote(name, basedOn));
    if (result.isLeft()) {
      return Optional.of(result.getLeft());
    }
    Set<String> up = up().stream().map(EntryHostProcess::name).collect(Collectors.toSet());
    oracle.rollout().accepted(name, sentMillis, up);
    probe.follow(name);
    return Optional.empty();
  }

  /** Returns the entry host that was started with this number, from 0. */
  public EntryHostProcess host(int number) {
    synchronized (hosts) {
      return hosts.get(number);
    }
  }

  /** Returns the stand-ins. */
  public Platform platform() {
    return platform;
  }

  /** Returns the oracle. */
  public Oracle oracle() {
    return oracle;
  }

  /** Returns the demand. */
  public DemandDriver demand() {
    return demand;
  }
}
