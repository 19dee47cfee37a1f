package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Module;
import dagger.multibindings.IntoSet;
import org.persimmonloom.runtime.operator.OperatorRoute;
import org.persimmonloom.runtime.operator.Readiness;
import org.persimmonloom.runtime.operator.ReleaseApplyRoute;
import org.persimmonloom.runtime.operator.ReleaseShowRoute;
import org.persimmonloom.runtime.operator.ReleaseStatusRoute;
import org.persimmonloom.runtime.operator.ReleaseValidateRoute;

/** Collects the paths of the operators' interface. */
@Module
public interface OperatorModule {
  @Binds
  @IntoSet
  OperatorRoute releaseApply(ReleaseApplyRoute route);

  @Binds
  @IntoSet
  OperatorRoute releaseShow(ReleaseShowRoute route);

  @Binds
  @IntoSet
  OperatorRoute releaseValidate(ReleaseValidateRoute route);

  @Binds
  @IntoSet
  OperatorRoute releaseStatus(ReleaseStatusRoute route);

  @Binds
  Readiness readiness(HostReadiness readiness);
}
