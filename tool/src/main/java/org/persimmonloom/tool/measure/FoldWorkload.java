package org.persimmonloom.tool.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.fold.Proposal;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostFacts;
import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.job.JobSize;
import org.persimmonloom.core.job.JobSpec;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.result.RunOutcome;

/** The records whose cost is measured; each grows one table of the fold. */
enum FoldWorkload {
  /** One worker admitted to its home pool. */
  HOST(new int[] {500, 2_000, 8_000}, FoldWorkload::host),
  /** One claim and its settlement. */
  CLAIM(new int[] {5_000, 20_000, 60_000}, FoldWorkload::claim),
  /** One queued job. */
  JOB(new int[] {1_000, 4_000, 16_000}, FoldWorkload::job),
  /** One release note that adds a team. */
  CONFIGURATION_CHANGE(new int[] {100, 300, 900}, FoldWorkload::change),
  /** One renewal of an entry host's registration. */
  REGISTRATION(new int[] {2_000, 8_000, 32_000}, index -> List.of(registration()));

  /** Key times lie within the claim window of the records' fold time. */
  static final long NOW_MILLIS = 1_800_000_000_000L;

  /** Pools that the first release note defines; each has a service. */
  static final int POOLS = 248;

  private final int[] sizes;
  private final IntFunction<List<Proposal>> records;

  FoldWorkload(int[] sizes, IntFunction<List<Proposal>> records) {
    this.sizes = sizes;
    this.records = records;
  }

  /** Returns the sizes at which the workload is measured. */
  int[] sizes() {
    return sizes.clone();
  }

  /** Returns the proposals of the first {@code size} units. */
  List<Proposal> proposals(int size) {
    List<Proposal> proposals = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      proposals.addAll(records.apply(index));
    }
    return proposals;
  }

  static EntryHostSeen registration() {
    return new EntryHostSeen("127.0.0.1:7200", "127.0.0.1:7080", "dc1");
  }

  /** Returns notes that define the pools, the services and one team before the measurement. */
  static List<Proposal> preparation() {
    List<Proposal> notes = new ArrayList<>();
    int perNote = 62;
    for (int first = 0; first < POOLS; first += perNote) {
      StringBuilder text = new StringBuilder("[release]\nname = pools-" + first + "\n");
      for (int pool = first; pool < first + perNote; pool++) {
        text.append("[add pool workers-").append(pool).append("]\nkind = workers\n");
        text.append("[add pool executors-").append(pool).append("]\nkind = executors\n");
        text.append("[add service service-").append(pool).append("]\npool = executors-");
        text.append(pool).append("\nworkers = workers-").append(pool);
        text.append("\nrepeatable = false\n");
      }
      notes.add(new ReleaseProposed("measure", text.toString(), first / perNote));
    }
    notes.add(
        new ReleaseProposed(
            "measure",
            "[release]\nname = team\n[add team depot]\nquota_cores = 64\n",
            notes.size()));
    return notes;
  }

  private static List<Proposal> host(int index) {
    int pool = index % POOLS;
    return List.of(
        new HostAdmitted(
            new HostFacts(
                "worker-" + index,
                HostKind.WORKER,
                "10.0." + index / 250 + "." + index % 250 + ":9000",
                "rack-" + index / 4,
                "dc-" + index % 8,
                "region-" + index % 3,
                16,
                65_536,
                index % 4 == 0 ? 8 : 0,
                "workers-" + pool)));
  }

  private static List<Proposal> claim(int index) {
    String service = "service-" + index % POOLS;
    String key = NOW_MILLIS + "-caller" + index + "abcdef";
    String claimId = NOW_MILLIS + "-" + index;
    return List.of(
        new ClaimRequested(service, key, 31L * index, claimId, null),
        new ClaimSettled(service, key, claimId, RunOutcome.RAN));
  }

  private static List<Proposal> job(int index) {
    return List.of(
        new JobSubmitted(
            new JobSpec(
                NOW_MILLIS + "-job" + index + "abcdef",
                "depot",
                "reconciliation",
                "service-" + index % POOLS,
                new JobSize(2, 4_096, 0),
                600_000,
                false,
                true)));
  }

  private static List<Proposal> change(int index) {
    String text =
        "[release]\nname = change-"
            + index
            + "\n[add team team-"
            + index
            + "]\nquota_cores = 64\nquota_accelerators = 32\n";
    return List.of(new ReleaseProposed("measure", text, POOLS / 62 + 1L + index));
  }
}
