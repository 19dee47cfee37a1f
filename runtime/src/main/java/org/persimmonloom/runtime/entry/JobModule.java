package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import dagger.multibindings.IntoSet;
import org.persimmonloom.core.job.OutlookSource;
import org.persimmonloom.core.maintenance.DrainForecast;
import org.persimmonloom.runtime.operator.JobCancelRoute;
import org.persimmonloom.runtime.operator.JobListRoute;
import org.persimmonloom.runtime.operator.JobReleaseRoute;
import org.persimmonloom.runtime.operator.JobShowRoute;
import org.persimmonloom.runtime.operator.JobSubmitRoute;
import org.persimmonloom.runtime.operator.OperatorRoute;

/** Provides the operators' paths for jobs and what placement knows of maintenance. */
@Module
public interface JobModule {
  @Binds
  @IntoSet
  OperatorRoute jobSubmit(JobSubmitRoute route);

  @Binds
  @IntoSet
  OperatorRoute jobList(JobListRoute route);

  @Binds
  @IntoSet
  OperatorRoute jobShow(JobShowRoute route);

  @Binds
  @IntoSet
  OperatorRoute jobCancel(JobCancelRoute route);

  @Binds
  @IntoSet
  OperatorRoute jobRelease(JobReleaseRoute route);

  @Provides
  static OutlookSource outlooks() {
    return (fleet, nowMillis) -> DrainForecast.of(fleet.waves(), fleet.budgets(), nowMillis);
  }
}
