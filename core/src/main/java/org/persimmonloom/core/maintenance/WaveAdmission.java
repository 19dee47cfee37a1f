package org.persimmonloom.core.maintenance;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.host.HostTable;
import org.persimmonloom.core.release.KeyRule;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Validates requests for waves: their hosts, their parameters and their plan. Changes no state;
 * confined to the fold thread and to readers that hold the lock of the replica.
 */
public final class WaveAdmission {
  /** A host that is down for longer must be removed and admitted again instead. */
  static final long MAX_DOWN_MILLIS = 24 * 60 * 60_000L;

  private final HostTable hosts;
  private final AvailabilityBudgets budgets;
  private final Function<String, Optional<Wave>> openWaveOf;

  WaveAdmission(
      HostTable hosts, AvailabilityBudgets budgets, Function<String, Optional<Wave>> openWaveOf) {
    this.hosts = hosts;
    this.budgets = budgets;
    this.openWaveOf = openWaveOf;
  }

  /** Returns the hosts that a request covers, or why the request is not valid. */
  public Either<Failure, List<Host>> resolveHosts(MaintenanceRequested request) {
    TreeMap<String, Host> members = new TreeMap<>();
    for (String pool : request.pools()) {
      if (hosts.pool(pool).isEmpty()) {
        return Either.left(Failure.of(ResultCode.POOL_UNKNOWN, pool));
      }
      hosts.inPool(pool).forEach(host -> members.put(host.name(), host));
    }
    for (String name : request.hosts()) {
      Optional<Host> host = hosts.find(name);
      if (host.isEmpty()) {
        return Either.left(Failure.of(ResultCode.HOST_UNKNOWN, name));
      }
      members.put(name, host.get());
    }
    Optional<Failure> invalid = checkParameters(request, members.size());
    if (invalid.isPresent()) {
      return Either.left(invalid.get());
    }
    return Either.right(List.copyOf(members.values()));
  }

  /** Returns a conflict if one of the hosts already belongs to another open wave. */
  Optional<Failure> checkOverlap(List<Host> members) {
    for (Host host : members) {
      Optional<Wave> other = openWaveOf.apply(host.name());
      if (other.isPresent()) {
        return Optional.of(Failure.of(ResultCode.WAVE_CONFLICT, host.name(), other.get().name()));
      }
    }
    return Optional.empty();
  }

  private static Optional<Failure> checkParameters(MaintenanceRequested request, int members) {
    if (!KeyRule.NAME.matcher(request.wave()).matches()) {
      return Optional.of(
          Failure.of(ResultCode.USAGE, "the wave's name must match " + KeyRule.NAME.pattern()));
    }
    boolean isValid =
        members > 0
            && request.maxAtOnce() > 0
            && request.expectedDownMillis() >= 0
            && request.expectedDownMillis() <= MAX_DOWN_MILLIS;
    return isValid
        ? Optional.empty()
        : Optional.of(
            Failure.of(
                ResultCode.USAGE,
                "a wave needs a host, max at once from 1 and an expected down time up to "
                    + MAX_DOWN_MILLIS
                    + " ms"));
  }

  /**
   * Computes the plan of a request. When a request is accepted, current losses are ignored, since
   * they may have ended when the window starts; the plan shown to operators counts them.
   */
  public Either<Failure, MaintenancePlan> plan(
      MaintenanceRequested request, List<Host> members, long nowMillis, boolean countsLosses) {
    MaintenancePlan.Budgets planBudgets =
        new MaintenancePlan.Budgets() {
          @Override
          public List<BudgetGroup> groupsOf(Host host) {
            return budgets.groupsOf(host);
          }

          @Override
          public int unplanned(BudgetGroup group) {
            return countsLosses ? budgets.use(group).unplanned().size() : 0;
          }
        };
    long startMillis = Math.max(nowMillis, request.windowStartMillis());
    long windowMillis =
        request.windowEndMillis() <= startMillis ? 0 : request.windowEndMillis() - startMillis;
    return MaintenancePlan.of(
        members, planBudgets, request.maxAtOnce(), request.expectedDownMillis(), windowMillis);
  }
}
