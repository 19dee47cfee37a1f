package org.persimmonloom.core.fold;

import org.persimmonloom.core.claim.ClaimTable;
import org.persimmonloom.core.explain.DecisionJournal;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.job.JobTable;
import org.persimmonloom.core.maintenance.WaveTable;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.release.ReleaseCatalog;

/**
 * A snapshot of the whole replicated state.
 *
 * @param foldVersion version of the fold rules that produced the state
 * @param nextOffset first offset that is not folded into the state
 * @param timeMillis fold time in milliseconds since the epoch
 */
public record FleetSnapshot(
    int foldVersion,
    long nextOffset,
    long timeMillis,
    EntryHostTable.Snapshot entryHosts,
    ReleaseCatalog.Snapshot releases,
    ClaimTable.Snapshot claims,
    HostTable.Snapshot hosts,
    JobTable.Snapshot jobs,
    WaveTable.Snapshot waves,
    DecisionJournal.Snapshot journal) {}
