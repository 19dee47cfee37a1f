package org.persimmonloom.core.routing;

import org.persimmonloom.core.release.ServiceDefinition;

/** Creates the scheduler of a service. Safe for any thread. */
@FunctionalInterface
public interface RequestSchedulerFactory {
  /** Returns a new scheduler without endpoints. */
  RequestScheduler create(ServiceDefinition service);
}
