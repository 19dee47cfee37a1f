package org.persimmonloom.core.release;

import java.util.List;

/** The kinds of definition in a release note, with the keys permitted for each. */
public enum DefinitionKind {
  POOL(
      KeyRule.choice("kind", "executors", "executors", "workers"),
      KeyRule.name("service", ""),
      KeyRule.choice("spare", "false", "true", "false")),
  SERVICE(
      KeyRule.requiredName("pool"),
      KeyRule.name("workers", ""),
      KeyRule.choice("repeatable", "true", "true", "false"),
      KeyRule.number("deadline_millis", 10_000, 10, 3_600_000),
      KeyRule.number("queue_limit", 512, 1, 100_000),
      KeyRule.number("slots_per_endpoint", 8, 1, 1_024),
      KeyRule.number("connections_per_endpoint", 64, 1, 4_096),
      KeyRule.number("short_limit_millis", 1_000, 1, 3_600_000),
      KeyRule.decimal("objective_percent", 99.9, 1, 99.999),
      KeyRule.number("objective_latency_millis", 1_000, 1, 3_600_000),
      KeyRule.decimal("weight", 1, 0.01, 1_000)),
  BUDGET(
      KeyRule.requiredName("pool"),
      KeyRule.choice("domain", "pool", "pool", "rack", "data_centre"),
      KeyRule.requiredNumber("max_unavailable", 0, 100_000)),
  TEAM(
      KeyRule.number("quota_cores", 64, 0, 1_000_000),
      KeyRule.number("quota_memory_mb", 262_144, 0, 1_000_000_000),
      KeyRule.number("quota_accelerators", 0, 0, 100_000)),
  WEIGHTS(
      KeyRule.decimal("short_wait", 1, 0, 1_000),
      KeyRule.decimal("buffer", 1, 0, 1_000),
      KeyRule.decimal("rollout", 1, 0, 1_000),
      KeyRule.decimal("moves", 1, 0, 1_000));

  private final List<KeyRule> rules;

  DefinitionKind(KeyRule... rules) {
    this.rules = List.of(rules);
  }

  /** Returns the keys of this kind, in the order in which they are documented. */
  public List<KeyRule> rules() {
    return rules;
  }
}
