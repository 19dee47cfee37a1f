package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpHandler;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A worker that guards its capacity. It runs tasks under a lease and writes heartbeats. */
final class Worker {
  static final long HEARTBEAT_MILLIS = 1_500;
  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 100;
  private static final int CPU = 16_000;

  final String id;
  final String machine;
  final String service;
  final Link link;
  private final Store store;
  private final Jobs jobs;
  private final Recorder record;
  private final HttpServer server;
  private final long bornMillis = System.currentTimeMillis();
  private final long clockStart = Recorder.nowMillis();
  private final Map<String, Running> running = new HashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<String, Integer> highestEnded = new HashMap<>();
  private long endNumber;
  private long fence;
  private long leaseUntil;
  private long heartbeats;
  private long lastHeartbeat;
  private long nextHeartbeat;
  private boolean isListed;
  private boolean isGone;

  private static final class Running {
    final Jobs.Run run;
    final long doneAt;
    long stoppedAt = Long.MAX_VALUE;

    Running(Jobs.Run run, long doneAt) {
      this.run = run;
      this.doneAt = doneAt;
    }
  }

  private record Ended(long number, String task, int run, String how) {}

  Worker(String name, String service, Store store, Jobs jobs, Recorder record) throws IOException {
    id = "i-" + name;
    machine = "m-" + name;
    this.service = service;
    this.store = store;
    this.jobs = jobs;
    this.record = record;
    server = Http.server();
    server.createContext("/persimmonloom/run-start", checked(this::start));
    server.createContext("/persimmonloom/run-stop", checked(this::stop));
    server.createContext("/persimmonloom/hold", checked(this::hold));
    server.createContext("/persimmonloom/pace", checked((body, answer) -> 200));
    server.start();
    link = new Link(Http.address(server));
    Thread timer = new Thread(this::runTimer, id);
    timer.setDaemon(true);
    timer.start();
  }

  private interface Call {
    int handle(JsonNode body, ObjectNode answer);
  }

  /** Refuses calls for another incarnation and calls with a lower fence. */
  private HttpHandler checked(Call call) {
    return exchange -> {
      JsonNode body = Http.body(exchange);
      ObjectNode answer = Http.MAPPER.createObjectNode();
      int status;
      synchronized (this) {
        if (isGone) {
          exchange.close();
          return;
        }
        String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
        if (expected != null && !expected.equals(id)) {
          status = 421;
        } else if (body.path("fence").asLong() < fence) {
          answer.put("reason", "fence");
          status = 409;
        } else {
          fence = body.path("fence").asLong();
          status = call.handle(body, answer);
        }
        answer.put("clock_ms", clock()).put("born", bornMillis);
      }
      send(exchange, status, answer);
    };
  }

  private static void send(HttpExchange exchange, int status, ObjectNode answer) {
    try {
      Http.answer(exchange, status, answer);
    } catch (IOException e) {
      exchange.close();
    }
  }

  private long clock() {
    return Recorder.nowMillis() - clockStart + 1_000;
  }

  private void extendLease(JsonNode body) {
    if (body.has("until_ms")) {
      long until = Math.min(body.path("until_ms").asLong(), clock() + MAX_LEASE_MILLIS);
      leaseUntil = Math.max(leaseUntil, until);
    }
  }

  private int start(JsonNode body, ObjectNode answer) {
    String task = body.path("task").asText();
    int run = body.path("run").asInt();
    Running present = running.get(task);
    if (present != null && present.run.number == run) {
      extendLease(body);
      return 200;
    }
    if (run <= highestEnded.getOrDefault(task, 0) || present != null) {
      extendLease(body);
      answer.put("reason", "old");
      return 409;
    }
    if (body.path("until_ms").asLong() <= clock()) {
      answer.put("reason", "late");
      return 409;
    }
    extendLease(body);
    Jobs.Job job = jobs.of(task);
    if (usedCpu() + job.cpu() > CPU) {
      answer.put("reason", "room");
      return 409;
    }
    long done = job.durationMillis() == 0 ? Long.MAX_VALUE : clock() + job.durationMillis();
    running.put(task, new Running(jobs.started(task, run, id), done));
    record.line("%s starts %s run %d (fence %d)", id, task, run, fence);
    return 200;
  }

  private int stop(JsonNode body, ObjectNode answer) {
    String task = body.path("task").asText();
    int run = body.path("run").asInt();
    highestEnded.merge(task, run, Math::max);
    Running present = running.get(task);
    if (present != null && present.run.number <= run) {
      present.stoppedAt = Math.min(present.stoppedAt, clock() + STOP_MILLIS);
    }
    return 200;
  }

  private int hold(JsonNode body, ObjectNode answer) {
    extendLease(body);
    long seen = body.path("seen_upto").asLong();
    ended.removeIf(end -> end.number() <= seen);
    long until = Recorder.nowMillis() + body.path("wait_ms").asLong();
    long left = until - Recorder.nowMillis();
    while (ended.isEmpty() && left > 0 && !isGone) {
      try {
        wait(left);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        break;
      }
      left = until - Recorder.nowMillis();
    }
    ArrayNode rows = answer.putArray("running");
    running.forEach(
        (task, now) -> rows.addArray().add(task).add(now.run.number).add("").add(100).add(1));
    ArrayNode ends = answer.putArray("ended");
    for (Ended end : ended) {
      ends.addArray().add(end.number()).add(end.task()).add(end.run()).add(end.how()).add("");
    }
    return 200;
  }

  /** Returns the number of ends that are listed and not taken note of. */
  synchronized int listedEnds() {
    return ended.size();
  }

  synchronized int usedCpu() {
    return running.keySet().stream().mapToInt(task -> jobs.of(task).cpu()).sum();
  }

  synchronized int runCount() {
    return running.size();
  }

  /** Returns whether the worker runs a task of a job. */
  synchronized boolean runsTaskOf(String job) {
    return running.keySet().stream().anyMatch(task -> task.startsWith(job + "."));
  }

  /** Loses power for good: its tasks are gone, and its address falls silent. */
  synchronized void losePower() {
    link.cut();
    isGone = true;
    record.line("%s loses power with %d tasks", id, running.size());
    long now = Recorder.nowMillis();
    for (Running task : running.values()) {
      task.run.endMillis = now;
      task.run.how = "lost with its worker";
    }
    running.clear();
    notifyAll();
  }

  synchronized boolean isGone() {
    return isGone;
  }

  private void runTimer() {
    while (true) {
      try {
        Thread.sleep(10);
      } catch (InterruptedException e) {
        return;
      }
      endTasks();
      heartbeat();
    }
  }

  private synchronized void endTasks() {
    long now = clock();
    boolean hasLapsed = now >= leaseUntil;
    for (Iterator<Running> all = running.values().iterator(); all.hasNext(); ) {
      Running task = all.next();
      String how =
          hasLapsed ? "lapsed" : now >= task.stoppedAt ? "stopped" : now >= task.doneAt ? "done" : "";
      if (!how.isEmpty()) {
        all.remove();
        task.run.endMillis = Recorder.nowMillis();
        task.run.how = how;
        highestEnded.merge(task.run.task, task.run.number, Math::max);
        endNumber++;
        ended.add(new Ended(endNumber, task.run.task, task.run.number, how));
        record.line("%s ends %s run %d: %s", id, task.run.task, task.run.number, how);
        notifyAll();
      }
    }
  }

  /** The entry is removed after three heartbeat intervals of silence. */
  private synchronized void heartbeat() {
    long now = Recorder.nowMillis();
    boolean isDue = now >= nextHeartbeat;
    if (isDue) {
      // The first interval is shorter, so that the workers do not write in step.
      long interval =
          nextHeartbeat == 0
              ? ThreadLocalRandom.current().nextLong(HEARTBEAT_MILLIS)
              : HEARTBEAT_MILLIS;
      nextHeartbeat = now + interval;
    }
    boolean reachesStore = !link.isCut() && !isGone && !store.isDown();
    if (isDue && reachesStore) {
      lastHeartbeat = now;
      heartbeats++;
      ObjectNode entry = Http.MAPPER.createObjectNode();
      entry.put("service", service).put("address", link.address()).put("zone", "zone-a");
      entry.put("version", "v1").put("slots", 8).put("state", "ready").put("cold_left_ms", 0);
      entry.putObject("capacity").put("cpu", CPU).put("mem_mb", 65_536).put("gpu", 0);
      entry.putArray("labels").add("a").add("r1-1");
      entry.put("born", bornMillis).put("clock_ms", clock()).put("seq", heartbeats);
      store.put("keyed.servers", id, entry.toString().getBytes());
      if (!isListed) {
        record.line("%s is listed in the store", id);
      }
      isListed = true;
    } else if (isListed && now - lastHeartbeat >= 3 * HEARTBEAT_MILLIS) {
      isListed = false;
      store.put("keyed.servers", id, null);
      record.line("%s: entry removed after %d ms of silence", id, now - lastHeartbeat);
    }
  }
}
