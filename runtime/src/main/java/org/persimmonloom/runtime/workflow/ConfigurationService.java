package org.persimmonloom.runtime.workflow;

import java.util.function.LongSupplier;

/**
 * Follows the operators' configuration and decides by it where requests belong. Start and stop
 * once; the other methods are safe for any thread.
 */
final class ConfigurationService {
  /** Wait time of a read of the operators' table, in ms. */
  private static final int READ_WAIT_MILLIS = 1_000;

  /** Maximum time since the last complete read of the table for this host to be ready, in ms. */
  private static final long MAX_READY_AGE_MILLIS = 2_500;

  private final OperationsReplica operations;
  private final TableFollower follower;
  private final ConfigurationVerifier verifier;
  private final RequestRouter router;

  /**
   * Creates the service.
   *
   * @param clock monotonic clock in milliseconds
   */
  ConfigurationService(
      KeyedLog log,
      PlatformDecoder decoder,
      PeerClient peers,
      HostDirectory hosts,
      WorkflowMetrics metrics,
      LongSupplier clock) {
    operations = new OperationsReplica(decoder, clock);
    follower = new TableFollower(log, Table.OPERATIONS, operations, clock, READ_WAIT_MILLIS, 0);
    verifier = new ConfigurationVerifier(operations, follower, peers, hosts, clock);
    router = new RequestRouter(operations, follower, verifier, metrics, clock);
  }

  void start() {
    follower.start();
  }

  void stop() {
    follower.stop();
    verifier.stop();
  }

  /** Returns whether this host has a configuration and reads the table itself. */
  boolean isReady() {
    return operations.configuration().isPresent() && follower.ageMillis() < MAX_READY_AGE_MILLIS;
  }

  OperationsReplica operations() {
    return operations;
  }

  ConfigurationVerifier verifier() {
    return verifier;
  }

  RequestRouter router() {
    return router;
  }
}
