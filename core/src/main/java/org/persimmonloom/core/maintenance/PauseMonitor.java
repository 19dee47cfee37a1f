package org.persimmonloom.core.maintenance;

import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;
import org.persimmonloom.core.host.Host;

/**
 * Tracks with hysteresis which budgets unplanned losses have used up.
 *
 * <p>A budget pauses the hosts of waves that it counts as soon as unplanned losses alone reach its
 * limit. The pause ends only after {@link #RESUME_MILLIS} below the limit, because a host that
 * repeatedly fails and returns would otherwise start and cancel a drain each time. A pause covers
 * one group of hosts, so a lost host in one of 248 pools does not stop a wave in the others.
 * Confined to the fold thread.
 */
public final class PauseMonitor {
  /** Time for which losses must stay below a limit before the pause ends. */
  public static final long RESUME_MILLIS = 60_000;

  /** Losses are evaluated after each change of a host, otherwise at this interval. */
  private static final long INTERVAL_MILLIS = 1_000;

  private final AvailabilityBudgets budgets;
  private final TreeMap<String, Pause> pauses = new TreeMap<>();
  private boolean changed = true;
  private long evaluatedMillis;

  /**
   * The pause of a budget that losses have used up. Times are milliseconds of fold time.
   *
   * @param sinceMillis when losses reached the limit
   * @param clearSinceMillis when losses fell below the limit again; 0 while they have not
   */
  public record Pause(String reason, long sinceMillis, long clearSinceMillis) {}

  /** The complete state. */
  public record Snapshot(SortedMap<String, Pause> pauses, boolean changed, long evaluatedMillis) {}

  PauseMonitor(AvailabilityBudgets budgets) {
    this.budgets = budgets;
  }

  void markChanged() {
    changed = true;
  }

  boolean isEvaluationDue(long nowMillis) {
    return changed || nowMillis - evaluatedMillis >= INTERVAL_MILLIS;
  }

  /** Starts, keeps and ends pauses according to the current unplanned losses. */
  void evaluate(long nowMillis) {
    changed = false;
    evaluatedMillis = nowMillis;
    SortedMap<String, BudgetUse> exhausted = budgets.exhaustedByLosses();
    exhausted.forEach(
        (key, use) -> {
          Pause existing = pauses.get(key);
          long since = existing == null ? nowMillis : existing.sinceMillis;
          pauses.put(key, new Pause(reasonText(use), since, 0));
        });
    for (String key : new TreeSet<>(pauses.keySet())) {
      if (!exhausted.containsKey(key)) {
        clear(key, pauses.get(key), nowMillis);
      }
    }
  }

  private static String reasonText(BudgetUse use) {
    return "budget "
        + use.group().key()
        + " allows "
        + use.group().maxUnavailable()
        + "; lost: "
        + String.join(", ", use.unplanned());
  }

  private void clear(String key, Pause pause, long nowMillis) {
    long clearSince = pause.clearSinceMillis == 0 ? nowMillis : pause.clearSinceMillis;
    if (nowMillis - clearSince >= RESUME_MILLIS) {
      pauses.remove(key);
    } else {
      pauses.put(key, new Pause(pause.reason, pause.sinceMillis, clearSince));
    }
  }

  /** Returns why unplanned losses keep the host from being drained, or empty. */
  Optional<String> pauseReason(Host host) {
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
