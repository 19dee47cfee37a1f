package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import java.util.Optional;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.operator.OperatorRoute;
import org.persimmonloom.runtime.operator.Readiness;
import org.persimmonloom.runtime.operator.ReleaseApplyRoute;
import org.persimmonloom.runtime.operator.ReleaseShowRoute;

/** Collects the paths of the operators' interface. */
@Module
public interface OperatorModule {
  @Binds
  @IntoSet
  OperatorRoute releaseApply(ReleaseApplyRoute route);

  @Binds
  @IntoSet
  OperatorRoute releaseShow(ReleaseShowRoute route);

  @Provides
  static Readiness readiness(LogFollower follower, PlannedStop plannedStop) {
    return () -> {
      if (plannedStop.isBegun()) {
        return Optional.of("the entry host is stopping");
      }
      return follower.isCaughtUp()
          ? Optional.empty()
          : Optional.of("the platform log is not folded");
    };
  }
}
