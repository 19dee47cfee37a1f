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
import org.persimmonloom.runtime.log.RecordSource;
import org.persimmonloom.runtime.peer.ClusterService;
import org.persimmonloom.runtime.peer.ClusterView;
import org.persimmonloom.runtime.peer.Currency;
import org.persimmonloom.runtime.peer.PeerChannel;
import org.persimmonloom.runtime.peer.PeerMesh;
import org.persimmonloom.runtime.peer.RecordExchange;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Provides the clients of the platform and the registry of metrics. */
@Module
public final class EntryModule {
  private EntryModule() {}

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

  @Provides
  static RecordSource recordSource(RecordExchange exchange) {
    return exchange;
  }

  @Provides
  static PeerChannel peerChannel(PeerMesh mesh) {
    return mesh;
  }

  @Provides
  static ClusterView clusterView(ClusterService cluster) {
    return cluster;
  }

  @Provides
  static Currency currency(ClusterService cluster) {
    return cluster;
  }
}
