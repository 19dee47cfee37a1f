package org.persimmonloom.core.release;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiFunction;

/**
 * An immutable set of definitions: the validated key values and the typed records decoded from
 * them. Applying a note creates a new set.
 */
final class Definitions {
  private final Map<DefinitionKind, Map<String, SortedMap<String, String>>> values;
  private final SortedMap<String, PoolDefinition> pools;
  private final SortedMap<String, ServiceDefinition> services;
  private final SortedMap<String, BudgetDefinition> budgets;
  private final SortedMap<String, TeamDefinition> teams;
  private final Weights weights;

  private Definitions(Map<DefinitionKind, Map<String, SortedMap<String, String>>> values) {
    this.values = values;
    pools = decodeAll(DefinitionKind.POOL, PoolDefinition::from);
    services = decodeAll(DefinitionKind.SERVICE, ServiceDefinition::from);
    budgets = decodeAll(DefinitionKind.BUDGET, BudgetDefinition::from);
    teams = decodeAll(DefinitionKind.TEAM, TeamDefinition::from);
    SortedMap<String, String> weightValues = values.get(DefinitionKind.WEIGHTS).get("weights");
    weights = weightValues == null ? Weights.EVEN : Weights.from(weightValues);
  }

  static Definitions empty() {
    return of(new EnumMap<>(DefinitionKind.class));
  }

  static Definitions of(Map<DefinitionKind, Map<String, SortedMap<String, String>>> values) {
    Map<DefinitionKind, Map<String, SortedMap<String, String>>> complete =
        new EnumMap<>(DefinitionKind.class);
    for (DefinitionKind kind : DefinitionKind.values()) {
      complete.put(kind, new TreeMap<>(values.getOrDefault(kind, Map.of())));
    }
    return new Definitions(complete);
  }

  private <T> SortedMap<String, T> decodeAll(
      DefinitionKind kind, BiFunction<String, Map<String, String>, T> decoder) {
    SortedMap<String, T> result = new TreeMap<>();
    values.get(kind).forEach((name, keyValues) -> result.put(name, decoder.apply(name, keyValues)));
    return Collections.unmodifiableSortedMap(result);
  }

  /** Returns a set with the changes of the note applied, or all errors that prevent it. */
  Either<List<NoteError>, Definitions> apply(ReleaseNote note, PoolOccupancy occupancy) {
    List<NoteError> errors = new ArrayList<>();
    Map<DefinitionKind, Map<String, SortedMap<String, String>>> next =
        new EnumMap<>(DefinitionKind.class);
    values.forEach((kind, byName) -> next.put(kind, new TreeMap<>(byName)));
    for (DefinitionChange change : note.changes()) {
      applyChange(change, next.get(change.kind()), occupancy, errors);
    }
    if (!errors.isEmpty()) {
      return Either.left(List.copyOf(errors));
    }
    Definitions candidate = new Definitions(next);
    candidate.checkReferences(note, errors);
    return errors.isEmpty() ? Either.right(candidate) : Either.left(List.copyOf(errors));
  }

  private static void applyChange(
      DefinitionChange change,
      Map<String, SortedMap<String, String>> byName,
      PoolOccupancy occupancy,
      List<NoteError> errors) {
    boolean exists = byName.containsKey(change.name()) || change.kind() == DefinitionKind.WEIGHTS;
    if (change.action() == ChangeAction.ADD && exists) {
      errors.add(new NoteError(change.section(), "-", "exists already"));
      return;
    }
    if (change.action() != ChangeAction.ADD && !exists) {
      errors.add(new NoteError(change.section(), "-", "does not exist"));
      return;
    }
    if (change.action() == ChangeAction.WITHDRAW) {
      withdraw(change, byName, occupancy, errors);
      return;
    }
    if (changesKindOfOccupiedPool(change, byName, occupancy)) {
      int hosts = occupancy.hostCount(change.name());
      errors.add(new NoteError(change.section(), "kind", "the pool still has " + hosts + " hosts"));
      return;
    }
    SortedMap<String, String> merged = new TreeMap<>();
    for (KeyRule rule : change.kind().rules()) {
      if (rule.defaultValue() != null) {
        merged.put(rule.key(), rule.defaultValue());
      }
    }
    merged.putAll(byName.getOrDefault(change.name(), Collections.emptySortedMap()));
    merged.putAll(change.values());
    byName.put(change.name(), merged);
  }

  /** The kind of a pool determines the kind of its hosts and is fixed while the pool has hosts. */
  private static boolean changesKindOfOccupiedPool(
      DefinitionChange change,
      Map<String, SortedMap<String, String>> byName,
      PoolOccupancy occupancy) {
    String next = change.values().get("kind");
    return change.kind() == DefinitionKind.POOL
        && change.action() == ChangeAction.CHANGE
        && next != null
        && !next.equals(byName.get(change.name()).get("kind"))
        && occupancy.hostCount(change.name()) > 0;
  }

  private static void withdraw(
      DefinitionChange change,
      Map<String, SortedMap<String, String>> byName,
      PoolOccupancy occupancy,
      List<NoteError> errors) {
    if (change.kind() == DefinitionKind.POOL) {
      int hosts = occupancy.hostCount(change.name());
      if (hosts > 0) {
        errors.add(new NoteError(change.section(), "-", "the pool still has " + hosts + " hosts"));
        return;
      }
    }
    byName.remove(change.name());
  }

  private void checkReferences(ReleaseNote note, List<NoteError> errors) {
    for (ServiceDefinition service : services.values()) {
      String section = sectionHeading(note, DefinitionKind.SERVICE, service.name());
      checkPool(section, "pool", service.pool(), false, errors);
      if (!service.workers().isEmpty()) {
        checkPool(section, "workers", service.workers(), true, errors);
      }
    }
    for (BudgetDefinition budget : budgets.values()) {
      if (!budget.pool().equals(BudgetDefinition.EVERY_POOL) && !pools.containsKey(budget.pool())) {
        errors.add(
            new NoteError(
                sectionHeading(note, DefinitionKind.BUDGET, budget.name()),
                "pool",
                "no pool named " + budget.pool()));
      }
    }
    for (PoolDefinition pool : pools.values()) {
      if (!pool.service().isEmpty() && !services.containsKey(pool.service())) {
        errors.add(
            new NoteError(
                sectionHeading(note, DefinitionKind.POOL, pool.name()),
                "service",
                "no service named " + pool.service()));
      }
    }
  }

  private void checkPool(
      String section, String key, String name, boolean mustHoldWorkers, List<NoteError> errors) {
    PoolDefinition pool = pools.get(name);
    if (pool == null) {
      errors.add(new NoteError(section, key, "no pool named " + name));
    } else if (pool.holdsWorkers() != mustHoldWorkers) {
      String kind = mustHoldWorkers ? "workers" : "executors";
      errors.add(new NoteError(section, key, "pool " + name + " does not hold " + kind));
    }
  }

  /**
   * Returns the heading of the definition in the note, or a label if the note does not change it.
   */
  private static String sectionHeading(ReleaseNote note, DefinitionKind kind, String name) {
    for (DefinitionChange change : note.changes()) {
      if (change.kind() == kind && change.name().equals(name)) {
        return change.section();
      }
    }
    return kind.name().toLowerCase(Locale.ROOT) + " " + name + " (in force)";
  }

  Map<DefinitionKind, Map<String, SortedMap<String, String>>> values() {
    return values;
  }

  SortedMap<String, PoolDefinition> pools() {
    return pools;
  }

  SortedMap<String, ServiceDefinition> services() {
    return services;
  }

  SortedMap<String, BudgetDefinition> budgets() {
    return budgets;
  }

  SortedMap<String, TeamDefinition> teams() {
    return teams;
  }

  Weights weights() {
    return weights;
  }
}
