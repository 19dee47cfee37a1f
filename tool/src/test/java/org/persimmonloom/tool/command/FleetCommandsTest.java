package org.persimmonloom.tool.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.host.HostState;
import org.persimmonloom.core.maintenance.PoolStatus;
import org.persimmonloom.core.maintenance.WaveStatus;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.entry.DaggerEntryComponent;
import org.persimmonloom.runtime.entry.EntryHostService;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.runtime.operator.WaveView;
import org.persimmonloom.runtime.settings.EntrySettingsParser;
import org.persimmonloom.tool.standin.HostListStandIn;
import org.persimmonloom.tool.standin.LogStandIn;

/** Two entry hosts, the stand-ins of the platform and the operators' commands, over loopback. */
class FleetCommandsTest {
  private static final int PORTS = 8;
  private static final long WAIT_MILLIS = 60_000;

  private final List<EntryHostService> entryHosts = new ArrayList<>();
  private final int[] ports = new int[PORTS];
  private LogStandIn log;
  private HostListStandIn hostList;
  @TempDir private Path directory;

  @BeforeEach
  void start() throws IOException {
    for (int index = 0; index < PORTS; index++) {
      try (ServerSocket socket = new ServerSocket(0)) {
        ports[index] = socket.getLocalPort();
      }
    }
    log = new LogStandIn(local(0));
    log.start();
    List<HostFacts> hosts = List.of(facts("h1", "r1"), facts("h2", "r1"), facts("h3", "r2"));
    hostList = new HostListStandIn(local(1), new HostList(hosts, Set.of()));
    hostList.setRebootMillis(1_500);
    hostList.start();
    entry("e1", 2);
    entry("e2", 5);
  }

  @AfterEach
  void stop() throws InterruptedException {
    for (EntryHostService entryHost : entryHosts) {
      entryHost.stop();
    }
    hostList.stop();
    log.stop();
  }

  private InetSocketAddress local(int index) {
    return new InetSocketAddress("127.0.0.1", ports[index]);
  }

  private static HostFacts facts(String name, String rack) {
    return new HostFacts(
        name, HostKind.EXECUTOR, "127.0.0.1:1", rack, "dc1", "r", 8, 1_024, 0, "a");
  }

  private void entry(String name, int port) throws IOException {
    String settings =
        """
        [entry]
        name = %s
        data_centre = dc1
        region = local
        [caller]
        address = 127.0.0.1:%d
        [operator]
        address = 127.0.0.1:%d
        token = token-for-test
        [peer]
        address = 127.0.0.1:%d
        [platform]
        log_url = http://127.0.0.1:%d
        host_list_url = http://127.0.0.1:%d
        [stop]
        balancer_delay_millis = 0
        deadline_millis = 1000
        """
            .formatted(name, ports[port], ports[port + 1], ports[port + 2], ports[0], ports[1]);
    EntryHostService entryHost =
        DaggerEntryComponent.factory()
            .create(new EntrySettingsParser().parse(settings).get(), InstantSource.system())
            .entryHost();
    entryHost.start();
    entryHosts.add(entryHost);
  }

  private ResultCode run(String... words) {
    List<String> all = new ArrayList<>(Arrays.asList(words));
    all.addAll(List.of("--entry", "127.0.0.1:" + ports[3], "--token", "token-for-test"));
    return Main.run(all);
  }

  private String output(String... words) {
    PrintStream before = System.out;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      assertThat(run(words)).isEqualTo(ResultCode.OK);
    } finally {
      System.setOut(before);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }

  private <T> T json(Class<T> type, String... words) {
    List<String> all = new ArrayList<>(Arrays.asList(words));
    all.add("--json");
    return ProposalTypes.CODEC.fromJson(output(all.toArray(new String[0])), type).get();
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.currentTimeMillis() + WAIT_MILLIS;
    while (!condition.getAsBoolean()) {
      assertThat(System.currentTimeMillis()).as(what).isLessThan(end);
      Thread.sleep(100);
    }
  }

  private Host host(String name) {
    return Arrays.stream(json(Host[].class, "host", "list"))
        .filter(host -> host.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private void applyRelease() throws IOException, InterruptedException {
    Path note = directory.resolve("note.ini");
    Files.writeString(
        note,
        "[release]\nname = first\n[add pool a]\n[add pool b]\n"
            + "[add budget all]\npool = *\nmax_unavailable = 1\n");
    await("release", () -> run("release", "apply", "--file", note.toString()) == ResultCode.OK);
    assertThat(run("release", "status")).isEqualTo(ResultCode.OK);
    await("first capacity plan", () -> run("report", "capacity") == ResultCode.OK);
    await("hosts", () -> json(Host[].class, "host", "list").length == 3);
  }

  private boolean isDone(String wave) {
    for (PoolStatus pool : json(PoolStatus[].class, "pool", "list")) {
      assertThat(pool.budgetRoom()).as("budgets of " + pool).isGreaterThanOrEqualTo(0);
    }
    return json(WaveView.Overview.class, "maintenance", "status", "--wave", wave)
            .waves()
            .get(0)
            .status()
        == WaveStatus.DONE;
  }

  /** Guards against a wave, a move or a command that works in the fold but not over the wire. */
  @Test
  void waveAndMoveEndToEnd() throws Exception {
    applyRelease();
    assertThat(output("maintenance", "plan", "--pool", "a", "--expected-down", "500ms"))
        .contains("ROUNDS");
    assertThat(run("maintenance", "plan", "--pool", "a", "--window", "1s", "--expected-down", "1s"))
        .isEqualTo(ResultCode.WINDOW_TOO_SHORT);
    output(
        "maintenance",
        "request",
        "--wave",
        "w1",
        "--pool",
        "a",
        "--window",
        "1h",
        "--max-at-once",
        "2",
        "--expected-down",
        "500ms");
    assertThat(run("host", "move", "--host", "h3", "--pool", "b"))
        .isEqualTo(ResultCode.MOVE_REFUSED);
    await("wave", () -> isDone("w1"));
    assertThat(hostList.rebootCount()).isEqualTo(3);
    output("host", "move", "--host", "h3", "--pool", "b");
    await("move", () -> host("h3").pool().equals("b"));
    assertThat(output("explain", "host", "h3")).contains("HostMoved").contains("in pool b");
    assertThat(output("explain", "wave", "w1")).contains("DONE");
    assertThat(output("pool", "show", "--pool", "a")).contains("all@a");
  }

  /** Guards against work on a leaving host and against a lost host that is not noticed. */
  @Test
  void leavingAndVanishedHosts() throws Exception {
    applyRelease();
    hostList.setLeaving("h1", true);
    await("leaving", () -> host("h1").state() == HostState.DRAINED);
    hostList.setLeaving("h1", false);
    await("stays", () -> host("h1").state() == HostState.AVAILABLE);
    hostList.vanish("h2");
    await("lost", () -> host("h2").state() == HostState.LOST);
    hostList.restore("h2");
    await("back", () -> host("h2").state() == HostState.AVAILABLE);
  }
}
