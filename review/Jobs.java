package review;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs of the clients, and every run of their tasks that the workers have seen. */
final class Jobs {
  /** A job of one step; a duration of 0 stands for tasks that last. */
  record Job(String id, String route, int tasks, int cpu, long durationMillis, int repeats) {
    ObjectNode body(long firstMillis, long intervalMillis) {
      ObjectNode body = Http.MAPPER.createObjectNode();
      body.put("spec", "job " + id);
      ObjectNode step = body.putArray("steps").addObject();
      step.put("count", tasks).put("cpu", cpu).put("mem_mb", 256);
      step.put("estimate_ms", Math.max(500, durationMillis));
      if (durationMillis == 0) {
        step.put("long_running", true).put("may_miss", 1);
      }
      if (repeats > 0) {
        body.put("repeat_count", repeats);
        body.put("first_ms", firstMillis).put("interval_ms", intervalMillis);
      }
      return body;
    }
  }

  /** One run on one worker; it is open while its end is {@link Long#MAX_VALUE}. */
  static final class Run {
    final String task;
    final int number;
    final String worker;
    final long startMillis;
    volatile long endMillis = Long.MAX_VALUE;
    volatile String how = "open";

    Run(String task, int number, String worker, long startMillis) {
      this.task = task;
      this.number = number;
      this.worker = worker;
      this.startMillis = startMillis;
    }

    @Override
    public String toString() {
      String end = endMillis == Long.MAX_VALUE ? "-" : String.valueOf(endMillis);
      return task + " run " + number + " on " + worker + ", " + startMillis + " to " + end + " ms: "
          + how;
    }
  }

  private final Map<String, Job> byId = new ConcurrentHashMap<>();
  private final List<Run> runs = new ArrayList<>();

  void add(Job job) {
    byId.put(job.id(), job);
  }

  Job of(String task) {
    return byId.get(task.substring(0, task.indexOf('.')));
  }

  synchronized Run started(String task, int number, String worker) {
    Run run = new Run(task, number, worker, Recorder.nowMillis());
    runs.add(run);
    return run;
  }

  synchronized List<Run> runs() {
    return List.copyOf(runs);
  }

  /** Returns the runs of a job that are open. */
  List<Run> openRuns(String id) {
    return runs().stream()
        .filter(run -> run.task.startsWith(id + ".") && run.endMillis == Long.MAX_VALUE)
        .toList();
  }

  /** Returns each pair of runs of one task that overlap, as a line. */
  List<String> overlaps() {
    List<String> found = new ArrayList<>();
    List<Run> all = runs();
    for (int i = 0; i < all.size(); i++) {
      for (int j = i + 1; j < all.size(); j++) {
        Run first = all.get(i);
        Run second = all.get(j);
        boolean overlaps =
            first.task.equals(second.task)
                && second.startMillis < first.endMillis
                && first.startMillis < second.endMillis;
        if (overlaps) {
          long until = Math.min(first.endMillis, second.endMillis);
          long from = Math.max(first.startMillis, second.startMillis);
          found.add(first + "; " + second + "; together for " + (until - from) + " ms");
        }
      }
    }
    return found;
  }
}
