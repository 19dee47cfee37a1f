package org.persimmonloom.tool.oracle;

import java.util.HashMap;
import java.util.Map;
import org.persimmonloom.tool.standin.Execution;

/**
 * Derives host moves and buffer hosts from the requests that endpoints run. Safe for any thread.
 *
 * <p>An endpoint belongs to the service whose request it ran last, or to its home service before
 * that. A move is a change of that service. Buffer hosts are those of the spare service, averaged
 * over the samples.
 */
public final class HostUsage {
  private final String spareService;
  private final Map<String, String> serviceByEndpoint = new HashMap<>();
  private long moves;
  private long samples;
  private long spareSum;

  /** Creates the usage of endpoints that have not run anything. */
  public HostUsage(String spareService, Map<String, String> homeServices) {
    this.spareService = spareService;
    serviceByEndpoint.putAll(homeServices);
  }

  /** Records that an endpoint began to run a request. */
  public synchronized void executed(Execution execution) {
    String before = serviceByEndpoint.put(execution.endpoint(), execution.service());
    if (before != null && !before.equals(execution.service())) {
      moves++;
    }
  }

  /** Counts the hosts of the spare service now. */
  public synchronized void sample() {
    samples++;
    spareSum += serviceByEndpoint.values().stream().filter(spareService::equals).count();
  }

  /** Returns the number of moves. */
  public synchronized long moves() {
    return moves;
  }

  /** Returns the mean number of buffer hosts; 0 without samples. */
  public synchronized double bufferHosts() {
    return samples == 0 ? 0 : (double) spareSum / samples;
  }
}
