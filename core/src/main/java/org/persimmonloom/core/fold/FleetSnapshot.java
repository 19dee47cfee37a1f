package org.persimmonloom.core.fold;

import org.persimmonloom.core.claim.ClaimTable;
import org.persimmonloom.core.explain.DecisionJournal;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.job.JobTable;
import org.persimmonloom.core.maintenance.WaveTable;
import org.persimmonloom.core.member.EntryHostTable;
import org.persimmonloom.core.release.ReleaseCatalog;

/**
 * The whole replicated state.
 *
 * @param foldVersion version of the rules that made it
 * @param nextOffset first offset that is not folded into it
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
