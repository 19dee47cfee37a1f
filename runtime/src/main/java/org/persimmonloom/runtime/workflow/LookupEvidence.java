package org.persimmonloom.runtime.workflow;

import java.util.List;

/**
 * What the result of a search for a workflow is based on, for logs.
 *
 * @param replicaAgeMillis age of this host's replica after the search, in ms
 * @param replicaEnd offset after the last record of the replica
 * @param read result of the read of the log during the search; empty if there was none
 * @param peers answers of other hosts, in the order of asking
 */
record LookupEvidence(long replicaAgeMillis, long replicaEnd, String read, List<String> peers) {
  /** Copies the answers. */
  LookupEvidence {
    peers = List.copyOf(peers);
  }

  @Override
  public String toString() {
    return "replica_age_ms=%d end=%d read=%s peers=%s"
        .formatted(replicaAgeMillis, replicaEnd, read, peers);
  }
}
