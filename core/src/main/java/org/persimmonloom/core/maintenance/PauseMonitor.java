package org.persimmonloom.core.maintenance;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
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

  /** Looks at the unplanned losses of now. */
  void evaluate(long nowMillis) {
    changed = false;
    evaluatedMillis = nowMillis;
    SortedMap<String, BudgetUse> exhausted = budgets.exhaustedByLosses();
    exhausted.forEach(
        (key, use) -> {
          Pause known = pauses.get(key);
          long since = known == null ? nowMillis : known.sinceMillis;
          pauses.put(key, new Pause(text(use), since, 0));
        });
    for (String key : new TreeSet<>(pauses.keySet())) {
      if (!exhausted.containsKey(key)) {
        recover(key, pauses.get(key), nowMillis);
      }
    }
  }

  private static String text(BudgetUse use) {
    return "budget "
        + use.group().key()
        + " allows "
        + use.group().maxUnavailable()
        + "; lost: "
        + String.join(", ", use.unplanned());
  }

  private void recover(String key, Pause pause, long nowMillis) {
    long clearSince = pause.clearSinceMillis == 0 ? nowMillis : pause.clearSinceMillis;
    if (nowMillis - clearSince >= RESUME_MILLIS) {
      pauses.remove(key);
    } else {
      pauses.put(key, new Pause(pause.reason, pause.sinceMillis, clearSince));
    }
  }

  /** Returns why the host must wait for unplanned losses to end, or empty. */
  Optional<String> reason(Host host) {
    for (BudgetGroup group : budgets.groupsOf(host)) {
      if (group.maxUnavailable() == 0) {
        return Optional.of("budget " + group.key() + " allows no unavailable host");
      }
      Pause pause = pauses.isEmpty() ? null : pauses.get(group.key());
      if (pause != null) {
        return Optional.of(
            pause.clearSinceMillis == 0
                ? pause.reason
                : pause.reason + "; recovered at " + pause.clearSinceMillis);
      }
    }
    return Optional.empty();
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
