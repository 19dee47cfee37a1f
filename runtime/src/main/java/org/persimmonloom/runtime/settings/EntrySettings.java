package org.persimmonloom.runtime.settings;

import java.net.InetSocketAddress;
import java.util.List;

/**
 * The checked settings of one entry host. Made by {@link EntrySettingsParser}.
 *
 * @param name unique among the entry hosts
 * @param callerAddress where callers connect
 * @param operatorAddress where operators and health checks connect
 * @param peerAddress where other entry hosts connect
 * @param seeds peer addresses to try before the log has been read
 * @param operatorToken required of operators' requests
 * @param logUrl base address of the platform log
 * @param hostListUrl address of the platform's host list
 * @param balancerDelayMillis how long to keep listening after readiness fails
 * @param stopDeadlineMillis how long a planned stop may take in all
 * @param retentionMillis how long the platform log keeps records
 */
public record EntrySettings(
    String name,
    String dataCentre,
    String region,
    InetSocketAddress callerAddress,
    InetSocketAddress operatorAddress,
    InetSocketAddress peerAddress,
    List<InetSocketAddress> seeds,
    String operatorToken,
    String logUrl,
    String hostListUrl,
    long balancerDelayMillis,
    long stopDeadlineMillis,
    long retentionMillis) {
  public EntrySettings {
    seeds = List.copyOf(seeds);
  }
}
