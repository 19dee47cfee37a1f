package org.persimmonloom.runtime.entry;

import dagger.Module;

/** Everything of an entry host but its HTTP client, which tests replace. */
@Module(
    includes = {
      EntryModule.class,
      OperatorModule.class,
      RequestModule.class,
      JobModule.class,
      FleetModule.class
    })
public interface EntryHostModule {}
