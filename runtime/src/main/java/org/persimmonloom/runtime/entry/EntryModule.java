package org.persimmonloom.runtime.entry;

import dagger.Module;
import dagger.Provides;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import javax.inject.Singleton;
import okhttp3.OkHttpClient;
import org.persimmonloom.runtime.fleet.HostListClient;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.HttpPlatformLog;
import org.persimmonloom.runtime.log.PlatformLog;
import org.persimmonloom.runtime.log.Proposer;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Provides the clients of the platform and the libraries' objects. */
@Module
public final class EntryModule {
  private EntryModule() {}

  @Provides
  @Singleton
  static OkHttpClient httpClient() {
    return new OkHttpClient();
  }

  @Provides
  @Singleton
  static PrometheusRegistry metrics() {
    return new PrometheusRegistry();
  }

  @Provides
  @Singleton
  static PlatformLog platformLog(OkHttpClient client, EntrySettings settings) {
    return new HttpPlatformLog(client, settings.logUrl());
  }

  @Provides
  @Singleton
  static HostListClient hostList(OkHttpClient client, EntrySettings settings) {
    return new HostListClient(client, settings.hostListUrl());
  }

  @Provides
  static Proposer proposer(GroupCommitter committer) {
    return committer;
  }
}
