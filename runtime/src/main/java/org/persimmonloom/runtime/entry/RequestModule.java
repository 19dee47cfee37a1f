package org.persimmonloom.runtime.entry;

import dagger.Binds;
import dagger.Module;
import dagger.Provides;
import java.util.Optional;
import javax.inject.Singleton;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.core.routing.RequestSchedulerFactory;
import org.persimmonloom.runtime.caller.AdmissionCheck;
import org.persimmonloom.runtime.caller.EvenSlotShares;
import org.persimmonloom.runtime.caller.FirstComeScheduler;
import org.persimmonloom.runtime.caller.SlotShares;
import org.persimmonloom.runtime.endpoint.EndpointClient;
import org.persimmonloom.runtime.endpoint.EndpointSender;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.log.ReplicatedState;
import org.persimmonloom.runtime.peer.PeerChannel;
import org.persimmonloom.runtime.peer.UnconnectedPeers;
import org.persimmonloom.runtime.settings.EntrySettings;

/** Provides what the request path needs from the other parts of the entry host. */
@Module
public interface RequestModule {
  @Binds
  EndpointSender sender(EndpointClient client);

  @Provides
  static RequestSchedulerFactory schedulers() {
    return FirstComeScheduler::new;
  }

  @Provides
  @Singleton
  static PeerChannel peers() {
    return new UnconnectedPeers();
  }

  @Provides
  static SlotShares slotShares(ReplicatedState state, EntrySettings settings) {
    return new EvenSlotShares(state, settings.name());
  }

  @Provides
  static AdmissionCheck admission(LogFollower follower) {
    return () ->
        follower.isCaughtUp() ? Optional.empty() : Optional.of(Failure.of(ResultCode.NOT_CURRENT));
  }
}
