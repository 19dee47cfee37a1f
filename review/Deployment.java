package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * A small deployment: the platform and the workers as stand-ins, and entry hosts as processes,
 * started with the command and the settings template of the deploy file.
 */
final class Deployment implements AutoCloseable {
  static final String HOST_NAME = "bots.example";

  final Recorder record;
  final Store store;
  final Jobs jobs = new Jobs();
  final List<Worker> workers = new ArrayList<>();
  final List<EntryHost> hosts = new ArrayList<>();
  private final HttpServer machines;
  private final Path folder;
  private final List<String> services;
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(500))
          .build();

  /** An entry host; it is started again by hand. */
  final class EntryHost {
    final String name;
    final String front;
    final String ready;
    private final Path settings;
    private Process process;

    private EntryHost(int number, List<Integer> ports) throws IOException {
      name = "edge-" + number;
      front = "127.0.0.1:" + ports.get(0);
      ready = "127.0.0.1:" + ports.get(1);
      Map<String, String> fields = new HashMap<>();
      fields.put("node", name);
      fields.put("zone", "zone-a");
      fields.put("listen.front", front);
      fields.put("listen.ready", ready);
      fields.put("ip", "127.0.0.1");
      fields.put("port_range.0", String.valueOf(ports.get(2)));
      fields.put("platform.address", store.address());
      fields.put("cloud.address", Http.address(machines));
      fields.put("advice", "");
      fields.put("limits.cpu_share", "0.75");
      fields.put("limits.cores", "1");
      fields.put("bounds.hold_max_ms", "6000");
      fields.put("bounds.lease_ms", "3000");
      fields.put("bounds.stop_ms", "400");
      fields.put("bounds.status_s", "120");
      fields.put("bounds.grace_s", "6");
      String text = Files.readString(Path.of("deploy/settings.ini"));
      for (Map.Entry<String, String> field : fields.entrySet()) {
        text = text.replace("{{" + field.getKey() + "}}", field.getValue());
      }
      settings = folder.resolve(name + ".ini");
      Files.writeString(settings, text);
    }

    void start() throws IOException {
      List<String> command = new ArrayList<>();
      for (String word : deployCommand()) {
        command.add(word.equals("/etc/persimmonloom/node.toml") ? settings.toString() : word);
      }
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()))
              .start();
      record.line("%s is started", name);
    }

    void terminate() {
      record.line("%s gets SIGTERM", name);
      process.destroy();
    }

    void kill() {
      record.line("%s gets SIGKILL", name);
      process.destroyForcibly();
    }

    boolean isAlive() {
      return process != null && process.isAlive();
    }

    boolean isReady() {
      return get("http://" + ready + "/persimmonloom/readiness", 500) == 200;
    }
  }

  /** An answer to a client; a status of 0 stands for none. */
  record Answer(int status, String body) {}

  Deployment(Recorder record, int hostCount, int workersPerService, String... serviceNames)
      throws IOException {
    this.record = record;
    services = List.of(serviceNames);
    folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    store = new Store();
    machines = Http.server();
    machines.createContext("/persimmonloom/machines", this::listMachines);
    machines.createContext("/persimmonloom/machine-", this::refuseOrder);
    machines.start();
    store.put("keyed.op", "config", configuration().toString().getBytes(StandardCharsets.UTF_8));
    for (String service : services) {
      for (int i = 0; i < workersPerService; i++) {
        workers.add(new Worker(service + "-" + i, service, store, jobs, record));
      }
    }
    List<Integer> ports = freePorts(3 * hostCount);
    for (int i = 0; i < hostCount; i++) {
      hosts.add(new EntryHost(i, ports.subList(3 * i, 3 * i + 3)));
    }
    for (EntryHost host : hosts) {
      host.start();
    }
  }

  private static List<String> deployCommand() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return Arrays.asList(text.split(" "));
      }
    }
    throw new IOException("deploy/system.toml has no command");
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<Integer> ports = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
      sockets.add(socket);
      ports.add(socket.getLocalPort());
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return ports;
  }

  private ObjectNode configuration() {
    ObjectNode configuration = Http.MAPPER.createObjectNode();
    configuration.put("version", 1);
    ArrayNode routes = configuration.putArray("routes");
    ArrayNode list = configuration.putArray("services");
    for (String service : services) {
      ObjectNode route = routes.addObject();
      route.put("name", "r-" + service).put("hostname", HOST_NAME);
      route.put("path_prefix", prefix(service)).put("kind", "non_idempotent");
      route.put("timeout_ms", 3_000).put("target_duration_ms", 600).put("priority", 0);
      route.put("service", service).put("attempts", 3).put("stretch", 1.6);
      list.addObject()
          .put("name", service)
          .put("health_path", "/health")
          .put("max_conns", 64)
          .put("rejects_overload", true)
          .put("spare", false);
    }
    configuration.putObject("limits").put("max_body_bytes", 262_144);
    return configuration;
  }

  static String prefix(String service) {
    return "/" + service + "/";
  }

  private void listMachines(HttpExchange exchange) throws IOException {
    ObjectNode page = Http.MAPPER.createObjectNode();
    ArrayNode list = page.putArray("machines");
    for (Worker worker : workers) {
      ObjectNode entry = list.addObject();
      entry.put("machine", worker.machine).put("pool", worker.service);
      entry.put("state", worker.isGone() ? "down" : "up").put("zone", "zone-a");
      entry.putArray("labels").add("a").add("r1-1");
      entry.putObject("capacity").put("cpu", 16_000).put("mem_mb", 65_536).put("gpu", 0);
      if (!worker.isGone()) {
        entry.put("id", worker.id);
      }
    }
    page.putNull("next_token");
    Http.answer(exchange, 200, page);
  }

  /** There is no spare pool and no wave, so no order about a machine is expected. */
  private void refuseOrder(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    Http.answer(exchange, 409, Http.MAPPER.createObjectNode().put("reason", "busy"));
  }

  /** Waits until every entry host answers its readiness check; returns whether they do in time. */
  boolean awaitReady(long millis) throws InterruptedException {
    long until = Recorder.nowMillis() + millis;
    while (Recorder.nowMillis() < until) {
      if (hosts.stream().allMatch(EntryHost::isReady)) {
        record.line("all entry hosts are ready");
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Returns the host whose name stands in the newest conditional record; null if there is none. */
  EntryHost leader() {
    byte[] newest = store.value("keyed.ownership", "fleet");
    String text = newest == null ? "" : new String(newest, StandardCharsets.ISO_8859_1);
    return hosts.stream().filter(host -> text.contains(host.name)).findFirst().orElse(null);
  }

  private int get(String url, long timeoutMillis) {
    return call("GET", url, "", timeoutMillis).status();
  }

  private Answer call(String method, String url, String body, long timeoutMillis) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(Duration.ofMillis(timeoutMillis))
            .header("Host", HOST_NAME)
            .header("Content-Type", "application/json")
            .header("X-Request-Deadline", "3000")
            .method(
                method,
                body.isEmpty()
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(response.statusCode(), response.body());
    } catch (IOException e) {
      return new Answer(0, e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Answer(0, e.toString());
    }
  }

  /** Sends one request of a client. */
  Answer request(EntryHost host, String method, String service, String id, String body) {
    return call(method, "http://" + host.front + prefix(service) + id, body, 3_000);
  }

  /** Submits a job until a host accepts it, and returns whether one does. */
  boolean submit(Jobs.Job job, long firstMillis, long intervalMillis) throws InterruptedException {
    jobs.add(job);
    String body = job.body(firstMillis, intervalMillis).toString();
    for (int attempt = 0; attempt < 10; attempt++) {
      EntryHost host = hosts.get(Math.floorMod(job.id().hashCode() + attempt, hosts.size()));
      Answer answer = request(host, "POST", job.route(), job.id(), body);
      if (answer.status() == 200) {
        record.line("client: POST %s to %s: 200", job.id(), host.name);
        return true;
      }
      record.line("client: POST %s to %s: %d", job.id(), host.name, answer.status());
      Thread.sleep(200);
    }
    return false;
  }

  /** Cancels a job until a host confirms it, and returns whether one does. */
  boolean cancel(Jobs.Job job) throws InterruptedException {
    for (int attempt = 0; attempt < 10; attempt++) {
      EntryHost host = hosts.get(Math.floorMod(job.id().hashCode() + attempt, hosts.size()));
      Answer answer = request(host, "DELETE", job.route(), job.id(), "");
      record.line("client: DELETE %s to %s: %d", job.id(), host.name, answer.status());
      if (answer.status() == 200) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Waits until a job has the number of open runs; returns whether that happens in time. */
  boolean awaitRuns(Jobs.Job job, int count, long millis) throws InterruptedException {
    long until = Recorder.nowMillis() + millis;
    while (Recorder.nowMillis() < until) {
      if (jobs.openRuns(job.id()).size() >= count) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  /** Returns the state that a host shows of a job. */
  String state(EntryHost host, Jobs.Job job) {
    Answer answer = request(host, "GET", job.route(), job.id(), "");
    if (answer.status() != 200) {
      return String.valueOf(answer.status());
    }
    try {
      JsonNode body = Http.MAPPER.readTree(answer.body());
      return body.path("state").asText();
    } catch (IOException e) {
      return "unreadable";
    }
  }

  @Override
  public void close() {
    for (EntryHost host : hosts) {
      if (host.isAlive()) {
        host.process.destroyForcibly();
      }
    }
    if (System.getenv("KEEP_LOGS") == null && Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.deleteIfExists(file);
        }
      } catch (IOException e) {
        System.err.println("temporary folder remains: " + e);
      }
    }
  }
}
