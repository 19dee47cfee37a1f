package org.persimmonloom.core.capacity;

import org.persimmonloom.core.host.HostKind;
import org.persimmonloom.core.release.Weights;

/**
 * The limits of the policy, derived from the deployment's weights. Only the share of a weight in
 * the sum of the four matters. With equal weights each limit has its middle value, and each weight
 * moves a limit in one direction:
 *
 * <ul>
 *   <li>wait of short requests: a pool's own slots cover more of a burst, the buffer is larger, and
 *       a wave leaves one host of each budget for unplanned losses;
 *   <li>buffer cost: the reverse, and surplus hosts return to the spare pool sooner;
 *   <li>roll-out time: a wave may take a pool below its need, and use whole budgets if the weight
 *       is more than twice that of short wait and buffer;
 *   <li>host moves: a shortfall or surplus must be larger before a host moves, and moves are
 *       further apart.
 * </ul>
 *
 * <p>The thresholds follow from the benefit of a move. One more host in a pool with a shortfall is
 * worth the weights of short wait and buffer together, one host returned is worth the weight of the
 * buffer; the thresholds are linear in the ratio of the weight of moves to that value.
 *
 * @param burstCoverage share of the burst above the trend that a pool's own slots must cover;
 *     queues and idle slots borrowed from the spare pool absorb the rest
 * @param surplusCoverage share of the burst above which slots count as surplus; between the burst
 *     coverage and this value no host moves. In hosts, this band grows with the burst of the pool
 * @param bufferShare share of all executors that is kept in reserve
 * @param shortfallThreshold hosts that a pool must lack before it receives one
 * @param surplusThreshold hosts that a pool must have above its surplus level before it gives one
 *     up
 * @param moveIntervalMillis minimum time between two starts of moves of one kind of host
 * @param unplannedReserve hosts of each pool's budget that a wave leaves for unplanned losses
 * @param waveOverdraft number of hosts by which a wave may take a pool below its need
 */
public record CapacityLimits(
    double burstCoverage,
    double surplusCoverage,
    double bufferShare,
    double shortfallThreshold,
    double surplusThreshold,
    long moveIntervalMillis,
    int unplannedReserve,
    int waveOverdraft) {
  private static final double COVERAGE_BAND = 0.1;

  /** Keeps the ratio of two weights finite when one is zero. */
  private static final double MIN_WEIGHT_SHARE = 0.01;

  /** Returns the limits for these weights; a move takes {@code moveMillis}. */
  public static CapacityLimits from(Weights weights, long moveMillis) {
    double sum = weights.shortWait() + weights.buffer() + weights.rollout() + weights.moves();
    double scale = sum > 0 ? 1 / sum : 0;
    double shortWait = weights.shortWait() * scale;
    double buffer = weights.buffer() * scale;
    double rollout = weights.rollout() * scale;
    double moves = weights.moves() * scale;
    double coverage = clamp(0.275 + 0.3 * (shortWait - buffer), 0.15, 0.5);
    return new CapacityLimits(
        coverage,
        coverage + COVERAGE_BAND,
        clamp(0.125 + 0.15 * (shortWait - buffer), 0.05, 0.2),
        0.5 + 1.5 * clamp(moves / Math.max(shortWait + buffer, MIN_WEIGHT_SHARE), 0, 4),
        0.75 + 2.5 * clamp(moves / Math.max(buffer, MIN_WEIGHT_SHARE), 0, 4),
        Math.round(moveMillis * clamp(moves, 0.1, 1)),
        rollout > 2 * (shortWait + buffer) ? 0 : 1,
        (int) Math.round(clamp(0.5 + 2 * (rollout - shortWait), 0, 3)));
  }

  /**
   * Returns how many of the {@code hosts} of a kind are kept in reserve. For workers it is one,
   * which allows a move to start immediately, because their long work may wait.
   */
  public int bufferHosts(HostKind kind, int hosts) {
    return kind == HostKind.WORKER ? 1 : Math.max(1, (int) Math.round(bufferShare * hosts));
  }

  private static double clamp(double value, double low, double high) {
    return Math.max(low, Math.min(high, value));
  }
}
