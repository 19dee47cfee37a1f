package org.persimmonloom.core.capacity;

import java.util.Comparator;
import java.util.List;
import org.persimmonloom.core.release.Weights;

/**
 * The complete input of a capacity decision, apart from the time.
 *
 * @param offset log offset of the state from which the view was built
 * @param pools all pools; sorted by name, so that the plan does not depend on the order of the
 *     argument
 * @param recentMoves moves started within the last hour
 * @param isMassEvent whether so many hosts left the host list at once that the list is not trusted
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

  /** Returns the number of hosts that are moving into a pool. */
  public long movingIn(String pool) {
    return pools.stream()
        .flatMap(view -> view.hosts().stream())
        .filter(host -> host.targetPool().equals(pool))
        .count();
  }
}
