package org.persimmonloom.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/** Compares tables that have read the same history in different orders. */
class WorkflowTableOrderTest {
  private static final List<String> WORKFLOWS = List.of("a", "b");
  private static final int OCCURRENCES = 3;
  private static final int MAX_HISTORY = 60;
  private static final long MUCH_LATER = 1_000_000;

  private final WorkflowRecords records = new WorkflowRecords();

  private record LoggedRecord(long offset, TableRecord record) {}

  /** Everything that callers are shown of a table. */
  private record Shown(Map<String, WorkflowState> states, int pending, TreeSet<String> removed) {}

  @Provide
  Arbitrary<List<TableRecord>> histories() {
    Arbitrary<String> workflow = Arbitraries.of(WORKFLOWS);
    Arbitrary<TableRecord> submission =
        workflow.flatMap(id -> Arbitraries.of(1, OCCURRENCES).map(count -> submission(id, count)));
    Arbitrary<TableRecord> progress =
        workflow.flatMap(
            id ->
                Arbitraries.integers()
                    .between(0, OCCURRENCES - 1)
                    .flatMap(
                        number ->
                            Arbitraries.of(WorkflowState.class)
                                .map(state -> progress(id, number, state))));
    Arbitrary<TableRecord> removal =
        workflow.flatMap(
            id ->
                Arbitraries.of(
                    records.submissionRemoval(id),
                    records.cancellationRemoval(id),
                    records.progressRemoval(id, 0),
                    records.progressRemoval(id, OCCURRENCES - 1)));
    return Arbitraries.oneOf(
            submission, workflow.map(records::cancellation), progress, progress, removal)
        .list()
        .ofMaxSize(MAX_HISTORY);
  }

  private TableRecord submission(String id, int occurrences) {
    QueuePolicy policy = new QueuePolicy("q", "s", 0, 3, 1.5, 600, 0);
    List<StepSpec> steps = List.of(StepBuilder.step(1).build());
    return records.submission(new WorkflowSpec(id, policy, "", steps, occurrences, 0, 1_000, 0));
  }

  private TableRecord progress(String id, int occurrence, WorkflowState state) {
    return records.progress(
        id,
        occurrence,
        new OccurrenceProgress("q", state, new byte[0], new int[0], new int[0][], 1_000));
  }

  /**
   * Guards against a restarted host that shows other states than the hosts that have read the whole
   * log, for as long as it runs.
   */
  @Property(tries = 2_000, seed = "33")
  void tableFollowsFromTheNewestRecords(
      @ForAll("histories") List<TableRecord> history, @ForAll int loadedAfter) {
    List<LoggedRecord> log = new ArrayList<>();
    history.forEach(record -> log.add(new LoggedRecord(log.size(), record)));
    int position = Math.floorMod(loadedAfter, log.size() + 1);
    WorkflowTable followed = table(log);
    WorkflowTable loaded = table(newest(log));
    WorkflowTable reloaded = table(newest(log.subList(0, position)));
    apply(reloaded, log.subList(position, log.size()));

    assertThat(shown(loaded)).isEqualTo(shown(followed));
    assertThat(shown(reloaded)).isEqualTo(shown(followed));
  }

  private static WorkflowTable table(Collection<LoggedRecord> applied) {
    WorkflowTable table = new WorkflowTable();
    apply(table, applied);
    return table;
  }

  private static void apply(WorkflowTable table, Collection<LoggedRecord> applied) {
    applied.forEach(logged -> table.apply(logged.record(), logged.offset()));
  }

  /** Returns the newest record of each key in the order of the keys, as a load delivers them. */
  private static List<LoggedRecord> newest(List<LoggedRecord> log) {
    Map<String, LoggedRecord> newest = new TreeMap<>();
    log.forEach(logged -> newest.put(logged.record().key(), logged));
    return newest.values().stream().filter(logged -> logged.record().value() != null).toList();
  }

  private static Shown shown(WorkflowTable table) {
    Map<String, WorkflowState> states = new HashMap<>();
    table.all().forEach(entry -> states.put(entry.id(), entry.state()));
    TreeSet<String> removed = new TreeSet<>();
    table.removals(MUCH_LATER, 0).forEach(record -> removed.add(record.key()));
    return new Shown(states, table.pendingCount("q"), removed);
  }
}
