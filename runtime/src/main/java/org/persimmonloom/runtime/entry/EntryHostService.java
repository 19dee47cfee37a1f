package org.persimmonloom.runtime.entry;

import java.io.IOException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.runtime.caller.CallerListener;
import org.persimmonloom.runtime.fleet.HostListWatcher;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.log.SnapshotWriter;
import org.persimmonloom.runtime.operator.OperatorListener;
import org.persimmonloom.runtime.operator.StoppingFlag;
import org.persimmonloom.runtime.peer.PeerMesh;

/** One entry host: starts its services in order of need and stops them in reverse. */
@Singleton
public final class EntryHostService {
  private final LogFollower follower;
  private final GroupCommitter committer;
  private final PeerMesh mesh;
  private final SnapshotWriter snapshots;
  private final StoppingFlag stopping;
  private final HostListWatcher hostList;
  private final OperatorListener operators;
  private final CallerListener callers;

  @Inject
  public EntryHostService(
      LogFollower follower,
      GroupCommitter committer,
      PeerMesh mesh,
      SnapshotWriter snapshots,
      StoppingFlag stopping,
      HostListWatcher hostList,
      OperatorListener operators,
      CallerListener callers) {
    this.follower = follower;
    this.committer = committer;
    this.mesh = mesh;
    this.snapshots = snapshots;
    this.stopping = stopping;
    this.hostList = hostList;
    this.operators = operators;
    this.callers = callers;
  }

  /** Starts all services. */
  public void start() throws IOException {
    mesh.start();
    follower.start();
    committer.start();
    hostList.start();
    operators.start();
    callers.start();
  }

  /** Stops all services. */
  public void stop() throws InterruptedException {
    stopping.set();
    callers.stop();
    operators.stop();
    hostList.stop();
    snapshots.stop();
    committer.stop();
    follower.stop();
    mesh.stop();
  }
}
