package org.persimmonloom.runtime.entry;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import okhttp3.OkHttpClient;

/**
 * Provides the client of all outgoing HTTP connections. A module of its own, so that the demo can
 * replace it by a client whose connections can be frozen.
 */
@Module
public final class HttpClientModule {
  private HttpClientModule() {}

  @Provides
  @Singleton
  static OkHttpClient httpClient() {
    return new OkHttpClient();
  }
}
