package org.persimmonloom.core.fold;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;
import org.persimmonloom.core.claim.ClaimReleased;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.host.DrainCancelled;
import org.persimmonloom.core.host.DrainConfirmed;
import org.persimmonloom.core.host.DrainRequested;
import org.persimmonloom.core.host.HostAdmitted;
import org.persimmonloom.core.host.HostDown;
import org.persimmonloom.core.host.HostLeaving;
import org.persimmonloom.core.host.HostLost;
import org.persimmonloom.core.host.HostMoveRequested;
import org.persimmonloom.core.host.HostMoved;
import org.persimmonloom.core.host.HostRemoved;
import org.persimmonloom.core.host.HostReturned;
import org.persimmonloom.core.host.HostsUnlisted;
import org.persimmonloom.core.host.ProbationOver;
import org.persimmonloom.core.job.JobCancelled;
import org.persimmonloom.core.job.JobCheckpointed;
import org.persimmonloom.core.job.JobEvicted;
import org.persimmonloom.core.job.JobFailed;
import org.persimmonloom.core.job.JobFinished;
import org.persimmonloom.core.job.JobLeaseExpired;
import org.persimmonloom.core.job.JobParked;
import org.persimmonloom.core.job.JobPlaced;
import org.persimmonloom.core.job.JobPreempted;
import org.persimmonloom.core.job.JobReleased;
import org.persimmonloom.core.job.JobStarted;
import org.persimmonloom.core.job.JobStopped;
import org.persimmonloom.core.job.JobSubmitted;
import org.persimmonloom.core.job.JobThrottled;
import org.persimmonloom.core.job.WorkerQuarantined;
import org.persimmonloom.core.job.WorkerRenewed;
import org.persimmonloom.core.job.WorkerSilent;
import org.persimmonloom.core.maintenance.MaintenanceCancelled;
import org.persimmonloom.core.maintenance.MaintenanceRequested;
import org.persimmonloom.core.member.EntryHostLeft;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.release.ReleaseProposed;
import org.persimmonloom.core.wire.Codec;

/**
 * The names of the proposal types on the wire. A name must not be reused for another type, because
 * records of earlier versions of the program remain in the log.
 */
public final class ProposalTypes {
  private static final Map<String, Class<? extends Proposal>> TYPES = types();

  /** The codec with all types of proposals. */
  public static final Codec CODEC = new Codec(TYPES);

  private ProposalTypes() {}

  private static Map<String, Class<? extends Proposal>> types() {
    Map<String, Class<? extends Proposal>> types = new TreeMap<>();
    types.put("release", ReleaseProposed.class);
    types.put("entry-seen", EntryHostSeen.class);
    types.put("entry-left", EntryHostLeft.class);
    types.put("entry-lost", EntryHostLost.class);
    types.put("claim", ClaimRequested.class);
    types.put("claim-settled", ClaimSettled.class);
    types.put("claim-released", ClaimReleased.class);
    types.put("host-admitted", HostAdmitted.class);
    types.put("job-submitted", JobSubmitted.class);
    types.put("job-placed", JobPlaced.class);
    types.put("job-started", JobStarted.class);
    types.put("job-checkpointed", JobCheckpointed.class);
    types.put("job-throttled", JobThrottled.class);
    types.put("job-preempted", JobPreempted.class);
    types.put("job-evicted", JobEvicted.class);
    types.put("job-stopped", JobStopped.class);
    types.put("job-finished", JobFinished.class);
    types.put("job-failed", JobFailed.class);
    types.put("job-cancelled", JobCancelled.class);
    types.put("job-lease-expired", JobLeaseExpired.class);
    types.put("job-parked", JobParked.class);
    types.put("job-released", JobReleased.class);
    types.put("worker-renewed", WorkerRenewed.class);
    types.put("worker-silent", WorkerSilent.class);
    types.put("worker-quarantined", WorkerQuarantined.class);
    types.put("host-returned", HostReturned.class);
    types.put("host-lost", HostLost.class);
    types.put("probation-over", ProbationOver.class);
    types.put("host-leaving", HostLeaving.class);
    types.put("host-removed", HostRemoved.class);
    types.put("hosts-unlisted", HostsUnlisted.class);
    types.put("host-move", HostMoveRequested.class);
    types.put("host-moved", HostMoved.class);
    types.put("drain", DrainRequested.class);
    types.put("drain-confirmed", DrainConfirmed.class);
    types.put("drain-cancelled", DrainCancelled.class);
    types.put("host-down", HostDown.class);
    types.put("maintenance", MaintenanceRequested.class);
    types.put("maintenance-cancelled", MaintenanceCancelled.class);
    types.put("snapshot", SnapshotChunk.class);
    return Collections.unmodifiableMap(types);
  }

  /** Returns the types by their names on the wire; unmodifiable. */
  public static Map<String, Class<? extends Proposal>> byName() {
    return TYPES;
  }
}
