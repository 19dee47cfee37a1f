package org.persimmonloom.runtime.entry;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.runtime.caller.CallerListener;
import org.persimmonloom.runtime.fleet.HostListWatcher;
import org.persimmonloom.runtime.fleet.WaveController;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.operator.OperatorListener;

/** One entry host: starts its services in order of need and stops them in reverse. */
@Singleton
public final class EntryHostService {
  private final LogFollower follower;
  private final GroupCommitter committer;
  private final HostListWatcher hostList;
  private final WaveController waves;
  private final OperatorListener operators;
  private final CallerListener callers;

  @Inject
  public EntryHostService(
      LogFollower follower,
      GroupCommitter committer,
      HostListWatcher hostList,
      WaveController waves,
      OperatorListener operators,
      CallerListener callers) {
    this.follower = follower;
    this.committer = committer;
    this.hostList = hostList;
    this.waves = waves;
    this.operators = operators;
    this.callers = callers;
  }

  /** Starts all services. */
  public void start() {
    follower.start();
    committer.start();
    hostList.start();
    waves.start();
    operators.start();
    callers.start();
  }

  /** Stops all services. */
  public void stop() throws InterruptedException {
    callers.stop();
    operators.stop();
    waves.stop();
    hostList.stop();
    committer.stop();
    follower.stop();
  }
}
