package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.steps.StepFault.Kind;
import org.persimmonloom.core.workflow.Resources;

/** The worker hosts with their processes, entries and host lists. Not thread-safe. */
final class StepModelFleet {
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long SNAPSHOT_MILLIS = 500;
  private static final long KEPT_LISTS = 40;

  private final StepModel model;
  private final List<StepModelWorker> processes = new ArrayList<>();
  private final Map<String, StepModelWorker> byAddress = new HashMap<>();
  private final Map<String, Integer> machines = new HashMap<>();
  private final Deque<Listed> lists = new ArrayDeque<>();
  private int replacements;

  private record Listed(long millis, List<MachineFacts> hosts) {}

  StepModelFleet(StepModel model, int count) {
    this.model = model;
    for (int machine = 0; machine < count; machine++) {
      StepModelWorker worker =
          new StepModelWorker(model, "i" + machine, "m" + machine, service(machine), machine);
      processes.add(worker);
      begin(worker);
    }
    model.at(model.now(), this::snapshot);
  }

  private static String service(int machine) {
    return machine % 3 == 2 ? "kitchen" : "laundry";
  }

  private void begin(StepModelWorker worker) {
    model.trace("%s starts at %s", worker.id, worker.address);
    byAddress.put(worker.address, worker);
    machines.put(worker.address, worker.machine);
    model.at(model.now() + 1, () -> heartbeat(worker));
  }

  private void heartbeat(StepModelWorker worker) {
    if (worker.isGone) {
      return;
    }
    if (!model.faults().isActive(Kind.STORE_DOWN)
        && !model.faults().isActive(Kind.ENTRY_LAPSES, worker.machine)) {
      model.store().heartbeat(worker.facts(), model.now());
    }
    model.at(model.now() + HEARTBEAT_MILLIS, () -> heartbeat(worker));
  }

  /** Ends a process; another one starts after a while, at most 3 s. */
  void restart(int machine, long durationMillis, boolean isReplaced) {
    if (machine >= processes.size() || processes.get(machine).isGone) {
      return;
    }
    StepModelWorker old = processes.get(machine);
    model.trace("%s ends", old.id);
    old.crash();
    byAddress.remove(old.address);
    long delay = Math.min(3_000, durationMillis);
    model.at(
        model.now() + delay,
        () -> {
          replacements++;
          String id = isReplaced ? "i" + machine + "r" + replacements : old.id;
          boolean isMoved = model.noise(4, "move") == 0;
          String address = isMoved ? "m" + machine + "p" + replacements : old.address;
          StepModelWorker next = new StepModelWorker(model, id, address, service(machine), machine);
          processes.set(machine, next);
          begin(next);
        });
  }

  void advance() {
    processes.forEach(StepModelWorker::advance);
  }

  int machineOf(String address) {
    return machines.get(address);
  }

  /** Returns the process at an address; null if there is none. */
  StepModelWorker workerAt(String address) {
    return byAddress.get(address);
  }

  private void snapshot() {
    model.store().removeLapsedEntries(model.now());
    lists.add(new Listed(model.now(), hosts()));
    if (lists.size() > KEPT_LISTS) {
      lists.remove();
    }
    model.at(model.now() + SNAPSHOT_MILLIS, this::snapshot);
  }

  private List<MachineFacts> hosts() {
    List<MachineFacts> hosts = new ArrayList<>();
    for (int machine = 0; machine < processes.size(); machine++) {
      StepModelWorker worker = processes.get(machine);
      boolean isNamed =
          !worker.isGone
              && model.store().hasEntry(worker.id)
              && !model.faults().isActive(Kind.LIST_UNNAMED, machine);
      hosts.add(
          new MachineFacts(
              "h" + machine,
              worker.service,
              MachineFacts.State.UP,
              Set.of(),
              new Resources(StepModelWorker.SLOTS * 1_000, 8_000, 0),
              isNamed ? worker.id : ""));
    }
    return hosts;
  }

  /** Passes on the present host list, or an older one. */
  void list(Consumer<List<MachineFacts>> answer) {
    long wanted = model.now() - model.faults().listAgeMillis();
    List<MachineFacts> listed = hosts();
    if (model.faults().listAgeMillis() > 0) {
      for (Listed kept : lists) {
        if (kept.millis <= wanted) {
          listed = kept.hosts;
        }
      }
    }
    List<MachineFacts> chosen = listed;
    model.at(model.now() + 1 + model.noise(150, "listed"), () -> answer.accept(chosen));
  }
}
