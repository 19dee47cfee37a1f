package org.persimmonloom.tool.demo;

import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import okhttp3.OkHttpClient;

/** Provides an HTTP client whose connections pass the gate of the entry host. */
@Module
final class GatedHttpClientModule {
  private GatedHttpClientModule() {}

  @Provides
  @Singleton
  static OkHttpClient httpClient(NetworkGate gate) {
    return new OkHttpClient.Builder().socketFactory(GatedSocketFactory.ofEntryHost(gate)).build();
  }
}
