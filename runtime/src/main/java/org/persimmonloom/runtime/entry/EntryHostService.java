package org.persimmonloom.runtime.entry;

import javax.inject.Inject;
import javax.inject.Singleton;
import org.persimmonloom.runtime.caller.CallerListener;
import org.persimmonloom.runtime.fleet.HostListWatcher;
import org.persimmonloom.runtime.log.GroupCommitter;
import org.persimmonloom.runtime.log.LogFollower;
import org.persimmonloom.runtime.operator.OperatorListener;
import org.persimmonloom.runtime.worker.JobController;

/** One entry host: starts its services in order of need and stops them in reverse. */
@Singleton
public final class EntryHostService {
  private final LogFollower follower;
  private final GroupCommitter committer;
  private final HostListWatcher hostList;
  private final JobController jobs;
  private final OperatorListener operators;
  private final CallerListener callers;

  @Inject
  public EntryHostService(
      LogFollower follower,
      GroupCommitter committer,
      HostListWatcher hostList,
      JobController jobs,
      OperatorListener operators,
      CallerListener callers) {
    this.follower = follower;
    this.committer = committer;
    this.hostList = hostList;
    this.jobs = jobs;
    this.operators = operators;
    this.callers = callers;
  }

  /** Starts all services. */
  public void start() {
    follower.start();
    committer.start();
    hostList.start();
    jobs.start();
    operators.start();
    callers.start();
  }

  /** Stops all services. */
  public void stop() throws InterruptedException {
    callers.stop();
    operators.stop();
    jobs.stop();
    hostList.stop();
    committer.stop();
    follower.stop();
  }
}
