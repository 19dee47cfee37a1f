package org.persimmonloom.tool;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import okhttp3.OkHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.fold.Batch;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.fold.ProposalTypes;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.result.RunOutcome;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.entry.EntryMain;
import org.persimmonloom.runtime.fleet.HostList;
import org.persimmonloom.runtime.log.HttpPlatformLog;
import org.persimmonloom.tool.standin.HostListStandIn;
import org.persimmonloom.tool.standin.LogStandIn;

/** The entry daemon as a process of its own, stopped by signals. */
@Timeout(value = 50, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class PlannedStopTest {
  private static final String NOTE =
      "[release]\nname = t\n[add pool p]\n[add service bill]\npool = p\nrepeatable = false\n";

  @TempDir private Path directory;
  private final CountDownLatch gate = new CountDownLatch(1);
  private final CountDownLatch arrived = new CountDownLatch(1);
  private final HttpClient http = HttpClient.newHttpClient();
  private final List<Integer> ports = new ArrayList<>();
  private LogStandIn log;
  private HostListStandIn hostList;
  private Undertow endpoint;
  private Process process;

  @BeforeEach
  void start() throws Exception {
    choosePorts(6);
    log = new LogStandIn(local(0));
    log.start();
    HostFacts facts =
        new HostFacts(
            "h1", HostKind.EXECUTOR, "127.0.0.1:" + ports.get(2), "r", "dc1", "x", 1, 1, 0, "p");
    hostList = new HostListStandIn(local(1), new HostList(List.of(facts), Set.of()));
    hostList.start();
    endpoint =
        Undertow.builder()
            .addHttpListener(ports.get(2), "127.0.0.1")
            .setHandler(new BlockingHandler(this::answer))
            .build();
    endpoint.start();
    process = startEntry();
    await(() -> get(4, "/readyz").statusCode() == 200);
    apply();
    await(() -> bill("ready").get().statusCode() == 200);
  }

  @AfterEach
  void stop() throws Exception {
    gate.countDown();
    process.destroyForcibly().waitFor();
    endpoint.stop();
    hostList.stop();
    log.stop();
  }

  private void choosePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      sockets.add(new ServerSocket(0));
      ports.add(sockets.get(i).getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
  }

  private InetSocketAddress local(int index) {
    return new InetSocketAddress("127.0.0.1", ports.get(index));
  }

  private Process startEntry() throws IOException {
    String address = " = 127.0.0.1:";
    String settings =
        "[entry]\nname = e1\ndata_centre = dc1\nregion = x\n"
            + ("[caller]\naddress" + address + ports.get(3))
            + ("\n[operator]\ntoken = test-token\naddress" + address + ports.get(4))
            + ("\n[peer]\naddress" + address + ports.get(5))
            + ("\n[platform]\nlog_url = http://127.0.0.1:" + ports.get(0))
            + ("\nhost_list_url = http://127.0.0.1:" + ports.get(1))
            + "\n[stop]\nbalancer_delay_millis = 1500\ndeadline_millis = 40000\n";
    Path file = Files.writeString(directory.resolve("entry.ini"), settings);
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    return new ProcessBuilder(
            java,
            "-Xmx192m",
            "-cp",
            System.getProperty("java.class.path"),
            EntryMain.class.getName(),
            "--settings",
            file.toString())
        .redirectErrorStream(true)
        .redirectOutput(directory.resolve("out.txt").toFile())
        .start();
  }

  private void answer(HttpServerExchange exchange) throws Exception {
    HttpString attempt = new HttpString(EndpointClient.ATTEMPT_HEADER);
    exchange.getResponseHeaders().put(attempt, exchange.getRequestHeaders().getFirst(attempt));
    if (exchange.getRequestPath().endsWith("gated")) {
      arrived.countDown();
      gate.await();
    }
    exchange.getResponseSender().send("done");
  }

  private interface Condition {
    boolean holds() throws Exception;
  }

  private static void await(Condition condition) throws Exception {
    while (true) {
      try {
        if (condition.holds()) {
          return;
        }
      } catch (IOException | ExecutionException e) {
        // Not listening yet.
        Thread.onSpinWait();
      }
      Thread.sleep(5);
    }
  }

  private HttpResponse<String> get(int index, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + ports.get(index) + path);
    return http.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
  }

  private void apply() throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + ports.get(4) + "/release?operator=t&based_on=0");
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header("Authorization", "Bearer test-token")
            .POST(HttpRequest.BodyPublishers.ofString(NOTE))
            .build();
    HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
    assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
  }

  private CompletableFuture<HttpResponse<String>> bill(String path) {
    URI uri = URI.create("http://127.0.0.1:" + ports.get(3) + "/bill/" + path);
    HttpRequest request =
        HttpRequest.newBuilder(uri)
            .header(
                "Persimmonloom-Request-Key",
                System.currentTimeMillis() + "-abcdefgh" + System.nanoTime())
            .header("Persimmonloom-Deadline-Millis", "40000")
            .POST(HttpRequest.BodyPublishers.noBody())
            .build();
    return http.sendAsync(request, HttpResponse.BodyHandlers.ofString());
  }

  private static String run(HttpResponse<String> response) {
    return response.headers().firstValue("Persimmonloom-Run").orElse("-");
  }

  private List<Proposal> proposals() throws IOException {
    HttpPlatformLog reader =
        new HttpPlatformLog(new OkHttpClient(), "http://127.0.0.1:" + ports.get(0));
    List<Proposal> proposals = new ArrayList<>();
    for (byte[] record : reader.read(0, 10_000, 0).records()) {
      proposals.addAll(ProposalTypes.CODEC.decode(record, Batch.class).get().proposals());
    }
    return proposals;
  }

  private long settled(RunOutcome outcome) throws IOException {
    return proposals().stream()
        .filter(it -> it instanceof ClaimSettled settled && settled.outcome() == outcome)
        .count();
  }

  /** Guards against a stop that interrupts a request or stops listening before the balancer. */
  @Test
  void requestsFinishAfterTheFirstSignal() throws Exception {
    long before = settled(RunOutcome.RAN);
    CompletableFuture<HttpResponse<String>> running = bill("gated");
    arrived.await();
    process.destroy();
    await(() -> get(4, "/readyz").statusCode() == 503);
    assertThat(run(bill("late").get())).isEqualTo("ran");
    gate.countDown();
    assertThat(run(running.get())).isEqualTo("ran");
    assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isZero();
    assertThat(settled(RunOutcome.RAN)).isGreaterThanOrEqualTo(before + 2);
    assertThat(settled(RunOutcome.UNKNOWN)).isZero();
    List<Proposal> all = proposals();
    assertThat(all.get(all.size() - 1)).isInstanceOf(EntryHostLeft.class);
  }

  /** Guards against a second signal that is ignored or that leaves a claim open. */
  @Test
  void secondSignalSettlesWhatIsLeftAsUnknown() throws Exception {
    CompletableFuture<HttpResponse<String>> running = bill("gated");
    arrived.await();
    process.destroy();
    await(() -> get(4, "/readyz").statusCode() == 503);
    process.destroy();
    assertThat(run(running.get())).isEqualTo("unknown");
    assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
    assertThat(process.exitValue()).isZero();
    assertThat(settled(RunOutcome.UNKNOWN)).isEqualTo(1);
  }
}
