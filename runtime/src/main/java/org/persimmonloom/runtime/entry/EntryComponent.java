package org.persimmonloom.runtime.entry;

import dagger.BindsInstance;
import dagger.Component;
import java.time.InstantSource;
import javax.inject.Singleton;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Wires one entry host. */
@Singleton
@Component(modules = {HttpClientModule.class, EntryHostModule.class})
public interface EntryComponent {
  /** Returns the entry host, not yet started. */
  EntryHostService entryHost();

  /** Makes components. */
  @Component.Factory
  interface Factory {
    /** Creates the component of one entry host. */
    EntryComponent create(
        @BindsInstance EntrySettings settings, @BindsInstance InstantSource clock);
  }
}
