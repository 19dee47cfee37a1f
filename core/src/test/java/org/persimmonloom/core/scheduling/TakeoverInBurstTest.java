package org.persimmonloom.core.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.workflow.TableRecord;
import org.persimmonloom.core.workflow.WorkflowRecords;
import org.persimmonloom.core.workflow.WorkflowSpec;
import org.persimmonloom.core.workflow.WorkflowTable;

/**
 * Replays the loss of the owner in a burst: 1,417 tasks waited beside 77 workers, and no host was
 * ordered for 2 s (pos-loom-large trouble-1).
 */
class TakeoverInBurstTest {
  private static final String SERVICE = SchedulerFixture.POLICY.service();
  private static final int RUNNING_HOSTS = 8;
  private static final int SPARE_HOSTS = 60;

  private final SchedulerFixture fleet = new SchedulerFixture();
  private Map<String, MachineFacts> machines;

  @BeforeEach
  void takeOver() {
    machines = fleet.addHosts(RUNNING_HOSTS, SPARE_HOSTS);
    fleet.submit("backlog", SchedulerFixture.step(1_432, 1_000, List.of()));
    fleet.takeOver();
    fleet.report();
  }

  private List<String> ordered() {
    fleet.scheduler.machines().machinesListed(machines.values(), fleet.now, fleet.now);
    return fleet.scheduler.machines().decide(new ArrayList<>(), fleet.now, fleet.now).stream()
        .map(MachineOrder::machine)
        .toList();
  }

  /** Guards against a backlog that waits for the duty lease of hosts which nobody has ordered. */
  @Test
  void hostsThatThePreviousOwnerHasNotOrderedAreOrderedAtOnce() {
    fleet.scheduler.machines().earlierOrdersKnown(List.of("s3", "s4"));
    assertThat(ordered()).hasSize(SPARE_HOSTS - 2).doesNotContain("s3", "s4");
    fleet.now += fleet.settings.dutyLeaseMillis();
    assertThat(ordered()).containsExactlyInAnyOrder("s3", "s4");
  }

  /** Guards against orders of two owners for one host within a duty lease. */
  @Test
  void noHostIsOrderedIfTheOrdersOfThePreviousOwnerAreUnknown() {
    assertThat(ordered()).isEmpty();
  }

  /** Guards against maintenance of more hosts at once than a wave allows. */
  @Test
  void wavesWaitForOneDutyLeaseInAnyCase() {
    fleet.scheduler.machines().earlierOrdersKnown(List.of());
    fleet.scheduler.machines().waveOrdered(new WaveOrder(1, Set.of("s5"), 20_000, 1), null);
    assertThat(ordered()).hasSizeGreaterThanOrEqualTo(SPARE_HOSTS - 1);
    assertThat(fleet.scheduler.machines().outline(fleet.now)).doesNotContain("s5:");
  }

  /** Guards against an owner that learns the rate of submissions only from its own term on. */
  @Test
  void rateOfSubmissionsIsTakenFromTheBacklog() {
    long now = 100_000;
    OccurrenceTable occurrences = new OccurrenceTable();
    for (int workflow = 0; workflow < 100; workflow++) {
      submitBefore(occurrences, workflow, 10L * workflow, now);
    }
    long expected = occurrences.arrivals().expectedCpuMillis(SERVICE, now);
    assertThat(expected).isPositive();
    // A submission that is older than all that is counted changes nothing.
    submitBefore(occurrences, 100, 2_050, now);
    assertThat(occurrences.arrivals().expectedCpuMillis(SERVICE, now)).isEqualTo(expected);
  }

  private static void submitBefore(
      OccurrenceTable occurrences, int workflow, long ageMillis, long now) {
    WorkflowSpec spec =
        new WorkflowSpec(
            "f" + workflow,
            SchedulerFixture.POLICY,
            "",
            List.of(SchedulerFixture.step(8, 1_000, List.of())),
            0,
            0,
            0,
            now - ageMillis);
    TableRecord record = new WorkflowRecords().submission(spec);
    new WorkflowTable()
        .apply(record, workflow)
        .ifPresent(entry -> occurrences.workflowChanged(entry, now, now, true));
  }
}
