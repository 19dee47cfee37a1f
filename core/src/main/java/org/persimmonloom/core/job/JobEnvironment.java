package org.persimmonloom.core.job;

import java.util.Optional;
import org.persimmonloom.core.host.Host;
import org.persimmonloom.core.release.ServiceDefinition;
import org.persimmonloom.core.release.TeamDefinition;
import org.persimmonloom.core.result.Failure;

/** Read access of the job table to the other tables of the fold. */
public interface JobEnvironment {
  /** Returns the host with this name. */
  Optional<Host> host(String name);

  /** Returns the number of hosts in the pool, in any state. */
  int hostCount(String pool);

  /** Returns the team with this name. */
  Optional<TeamDefinition> team(String name);

  /** Returns the service with this name. */
  Optional<ServiceDefinition> service(String name);

  /** Returns the failure if an availability budget does not allow to quarantine the worker. */
  Optional<Failure> quarantineRefusal(String worker);
}
