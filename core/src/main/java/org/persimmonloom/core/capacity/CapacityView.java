package org.persimmonloom.core.capacity;

import java.util.Comparator;
import java.util.List;
import org.persimmonloom.core.release.Weights;

/**
 * Everything that a capacity decision depends on besides the time.
 *
 * @param offset log offset of the state that the view was taken from
 * @param pools all pools; kept sorted by name, so that equal views give equal plans
 * @param recentMoves moves started within the last hour
 * @param isMassEvent whether the host list lost so many hosts at once that it is doubted
 */
public record CapacityView(
    long offset,
    Weights weights,
    List<PoolView> pools,
    List<RecentMove> recentMoves,
    boolean isMassEvent) {
  public CapacityView {
    pools = pools.stream().sorted(Comparator.comparing(PoolView::name)).toList();
    recentMoves = List.copyOf(recentMoves);
  }

  /** Returns the hosts on their way to a pool. */
  public long movingIn(String pool) {
    return pools.stream()
        .flatMap(each -> each.hosts().stream())
        .filter(host -> host.targetPool().equals(pool))
        .count();
  }
}
