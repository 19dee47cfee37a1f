package org.persimmonloom.core.maintenance;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.persimmonloom.core.host.Host;

/**
 * Which budgets are used up by unplanned losses, with hysteresis.
 *
 * <p>A budget pauses the waves that need it as soon as unplanned losses alone reach its limit. It
 * is released only after {@link #RESUME_MILLIS} without that, because a host that fails and comes
 * back in turn would otherwise start and cancel a drain with each turn. The pause covers one group
 * of hosts, so that a lost host in one of 248 pools does not stop a wave in the others. Confined to
 * the thread that folds.
 */
public final class PauseMonitor {
  /** How long a budget must have had room before it counts as recovered. */
  public static final long RESUME_MILLIS = 60_000;

  /** Losses are looked at after each change of a host, otherwise at this interval. */
  private static final long INTERVAL_MILLIS = 1_000;

  private final AvailabilityBudgets budgets;
  private final TreeMap<String, Pause> pauses = new TreeMap<>();
  private boolean changed = true;
  private long evaluatedMillis;

  /**
   * A budget that losses have used up.
   *
   * @param clearSinceMillis since when it has had room again; 0 while it has none
   */
  public record Pause(String reason, long sinceMillis, long clearSinceMillis) {}

  /** The whole state. */
  public record Snapshot(SortedMap<String, Pause> pauses, boolean changed, long evaluatedMillis) {}

  PauseMonitor(AvailabilityBudgets budgets) {
    this.budgets = budgets;
  }

  void markChanged() {
    changed = true;
  }

  boolean isDue(long nowMillis) {
    return changed || nowMillis - evaluatedMillis >= INTERVAL_MILLIS;
  }

  /** Looks at the budgets that the given hosts need; forgets the others. */
  void evaluate(List<Host> pending, long nowMillis) {
    changed = false;
    evaluatedMillis = nowMillis;
    SortedMap<String, BudgetGroup> groups = new TreeMap<>();
    for (Host host : pending) {
      budgets.groupsOf(host).forEach(group -> groups.put(group.key(), group));
    }
    pauses.keySet().retainAll(groups.keySet());
    groups.values().forEach(group -> evaluate(group, nowMillis));
  }

  private void evaluate(BudgetGroup group, long nowMillis) {
    Pause pause = pauses.get(group.key());
    List<String> unplanned = budgets.use(group).unplanned();
    if (unplanned.size() >= group.maxUnavailable()) {
      String reason =
          "budget "
              + group.key()
              + " allows "
              + group.maxUnavailable()
              + "; lost: "
              + (unplanned.isEmpty() ? "none" : String.join(", ", unplanned));
      pauses.put(group.key(), new Pause(reason, pause == null ? nowMillis : pause.sinceMillis, 0));
    } else if (pause != null) {
      long clearSince = pause.clearSinceMillis == 0 ? nowMillis : pause.clearSinceMillis;
      if (nowMillis - clearSince >= RESUME_MILLIS) {
        pauses.remove(group.key());
      } else {
        pauses.put(group.key(), new Pause(pause.reason, pause.sinceMillis, clearSince));
      }
    }
  }

  /** Returns why the host must wait for unplanned losses to end, or empty. */
  Optional<String> reason(Host host) {
    return budgets.groupsOf(host).stream()
        .map(group -> pauses.get(group.key()))
        .filter(pause -> pause != null)
        .map(
            pause ->
                pause.clearSinceMillis == 0
                    ? pause.reason
                    : pause.reason + "; recovered at " + pause.clearSinceMillis)
        .findFirst();
  }

  Snapshot snapshot() {
    return new Snapshot(new TreeMap<>(pauses), changed, evaluatedMillis);
  }

  void restore(Snapshot snapshot) {
    pauses.clear();
    pauses.putAll(snapshot.pauses());
    changed = snapshot.changed();
    evaluatedMillis = snapshot.evaluatedMillis();
  }
}
