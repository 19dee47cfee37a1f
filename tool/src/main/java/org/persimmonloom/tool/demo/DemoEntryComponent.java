package org.persimmonloom.tool.demo;

import dagger.BindsInstance;
import dagger.Component;
import java.time.InstantSource;
import javax.inject.Singleton;
import org.persimmonloom.runtime.entry.EntryComponent;
import org.persimmonloom.runtime.entry.EntryHostModule;
import org.persimmonloom.runtime.settings.EntrySettings;

/**
 * Wires one entry host as {@link EntryComponent} does, with connections that can be frozen. A test
 * compares the modules of both components.
 */
@Singleton
@Component(modules = {GatedHttpClientModule.class, EntryHostModule.class})
interface DemoEntryComponent extends EntryComponent {
  /** Makes components. */
  @Component.Factory
  interface Factory {
    /** Creates the component of one entry host behind a gate. */
    DemoEntryComponent create(
        @BindsInstance EntrySettings settings,
        @BindsInstance InstantSource clock,
        @BindsInstance NetworkGate gate);
  }
}
