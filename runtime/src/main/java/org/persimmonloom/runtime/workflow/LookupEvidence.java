package org.persimmonloom.runtime.workflow;

import java.util.List;

/**
 * What the result of a search for a workflow is based on, for logs.
 *
 * @param replicaAgeMillis age of this host's replica after the search, in ms
 * @param replicaEnd offset after the last record of the replica
 * @param read result of the read of the log that began after the question; "unanswered" while there
 *     is none
 * @param waitedMillis duration of the search, in ms
 * @param peers answers of other hosts, in the order of their arrival
 */
record LookupEvidence(
    long replicaAgeMillis, long replicaEnd, String read, long waitedMillis, List<String> peers) {
  /** Copies the answers. */
  LookupEvidence {
    peers = List.copyOf(peers);
  }

  @Override
  public String toString() {
    return "replica_age_ms=%d end=%d read=%s waited_ms=%d peers=%s"
        .formatted(replicaAgeMillis, replicaEnd, read, waitedMillis, peers);
  }
}
