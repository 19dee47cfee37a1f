package org.persimmonloom.runtime.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.member.Heartbeat;
import org.persimmonloom.runtime.settings.EntrySettings;

class PeerMeshTest {
  private static final long GENEROUS_MILLIS = 30_000;
  private final List<TestHost> hosts = new ArrayList<>();

  /** A mesh whose owner only records what it hears. */
  private final class TestHost implements MeshDelegate {
    private final String name;
    private final Map<String, Long> heard = new ConcurrentHashMap<>();
    private final Map<String, String> addresses = new ConcurrentHashMap<>();
    private final PeerMetrics metrics = new PeerMetrics(new PrometheusRegistry());
    private final PeerMesh mesh;
    private volatile List<String> wanted = List.of();

    TestHost(String name, InetSocketAddress address, List<InetSocketAddress> seeds)
        throws IOException {
      this.name = name;
      EntrySettings settings =
          new EntrySettings(
              name, "dc1", "local", address, address, address, seeds, "token", "", "", 0, 0, 0);
      mesh = new PeerMesh(settings, InstantSource.system(), metrics, this);
      mesh.handle(
          "greet",
          (peer, body) -> CompletableFuture.completedFuture((peer + "@" + name).getBytes()));
      mesh.handle("never", (peer, body) -> new CompletableFuture<>());
      mesh.start();
      hosts.add(this);
    }

    @Override
    public void tick(long nowMillis) {}

    @Override
    public Heartbeat heartbeat(long nowMillis) {
      return new Heartbeat(name, 1, 0, 0, 0, Map.of(), List.of(), List.of());
    }

    @Override
    public List<PeerMessage.Relayed> relayedTo(String peer, long nowMillis) {
      return List.of();
    }

    @Override
    public void heard(Heartbeat heartbeat, long heardMillis, boolean isDirect) {
      heard.put(heartbeat.name(), heardMillis);
    }

    @Override
    public Map<String, String> addresses() {
      return addresses;
    }

    @Override
    public List<String> wantedPeers() {
      return wanted;
    }

    private String ask(String peer, String kind, long timeoutMillis) throws Exception {
      return new String(
          mesh.ask(peer, kind, new byte[0], timeoutMillis)
              .get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress("127.0.0.1", socket.getLocalPort());
    }
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + GENEROUS_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("condition within the limit").isLessThan(end);
      Thread.sleep(10);
    }
  }

  @AfterEach
  void stop() throws InterruptedException {
    for (TestHost host : hosts) {
      host.mesh.stop();
    }
  }

  /** Guards against hosts that stay apart or disconnect each other after dialling at once. */
  @Test
  void seedsFormAMeshThatAnswersQuestions() throws Exception {
    List<InetSocketAddress> seeds = List.of(freeAddress(), freeAddress(), freeAddress());
    for (int number = 0; number < 3; number++) {
      new TestHost("entry-" + number, seeds.get(number), seeds);
    }
    for (TestHost host : hosts) {
      await(() -> host.heard.size() == 2);
    }
    assertThat(hosts.get(0).ask("entry-2", "greet", GENEROUS_MILLIS)).isEqualTo("entry-0@entry-2");
    assertThat(hosts.get(2).ask("entry-0", "greet", GENEROUS_MILLIS)).isEqualTo("entry-2@entry-0");
    assertThatThrownBy(() -> hosts.get(0).ask("entry-1", "unheard", GENEROUS_MILLIS))
        .isInstanceOf(ExecutionException.class)
        .hasCauseInstanceOf(IOException.class)
        .hasMessageContaining("no handler");
    assertThatThrownBy(() -> hosts.get(0).ask("entry-1", "never", 50))
        .hasCauseInstanceOf(IOException.class)
        .hasMessageContaining("no answer");
  }

  /** Guards against questions that fail because a peer is outside the sparse mesh. */
  @Test
  void questionDialsAPeerOutsideTheMesh() throws Exception {
    InetSocketAddress address = freeAddress();
    TestHost asking = new TestHost("entry-a", freeAddress(), List.of());
    TestHost asked = new TestHost("entry-b", address, List.of());
    asking.addresses.put("entry-b", "127.0.0.1:" + address.getPort());
    assertThat(asking.ask("entry-b", "greet", GENEROUS_MILLIS)).isEqualTo("entry-a@entry-b");
    assertThatThrownBy(() -> asked.ask("entry-c", "greet", GENEROUS_MILLIS))
        .hasMessageContaining("not registered");
    asked.mesh.stop();
    assertThatThrownBy(() -> asking.ask("entry-b", "greet", GENEROUS_MILLIS))
        .hasCauseInstanceOf(IOException.class);
  }

  /** Guards against malformed frames that stop the mesh or are not counted. */
  @Test
  void malformedFrameClosesOnlyItsConnection() throws Exception {
    List<InetSocketAddress> seeds = List.of(freeAddress(), freeAddress());
    TestHost first = new TestHost("entry-0", seeds.get(0), seeds);
    try (Socket socket = new Socket(seeds.get(0).getAddress(), seeds.get(0).getPort())) {
      OutputStream out = socket.getOutputStream();
      out.write(new byte[] {0, 0, 0, 3, 1, 2, 3});
      socket.setSoTimeout((int) GENEROUS_MILLIS);
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
    }
    await(() -> first.metrics.malformedFrames.get() == 1);
    new TestHost("entry-1", seeds.get(1), seeds);
    await(() -> first.heard.containsKey("entry-1"));
  }

  /** Guards against a connection that goes silent and is kept as the way to its peer. */
  @Test
  void silentConnectionIsClosed() throws Exception {
    InetSocketAddress address = freeAddress();
    TestHost host = new TestHost("entry-0", address, List.of());
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout((int) GENEROUS_MILLIS);
      while (socket.getInputStream().read() >= 0) {
        continue;
      }
    }
    await(() -> host.metrics.closedSilent.get() == 1);
  }
}
