package org.persimmonloom.runtime.workflow;

import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * How recent the workflows are by which an owner decides: the age of what its loop has applied, not
 * of what has been read and waits for the loop. It counts from when the read was sent.
 *
 * <p>The follower's own read may stand still on its connection, so the table is read on demand
 * beside it before starts are held back. Confined to the owner's loop, except for the age.
 */
final class KnownWorkflows {
  /**
   * Maximum age with which a task may be started. A workflow may start up to 3,000 ms after its
   * cancellation; a call to a worker takes up to 450 ms, and 350 ms remain for its delivery.
   */
  static final long MAX_START_AGE_MILLIS = 2_200;

  /**
   * Wait of the follower's reads. The age of an idle table comes close to two waits, as it counts
   * from when the last read was sent that has ended.
   */
  private static final int OWNER_WAIT_MILLIS = 500;

  /** Age beyond that of an idle table, from which the table is read on demand. */
  private static final long READ_AGE_MILLIS = 1_200;

  /** Minimum time between two reads on demand, as the follower retries by itself. */
  private static final long READ_INTERVAL_MILLIS = 200;

  private static final int MAX_LINES_PER_SECOND = 2;
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final Logger LOG = LogManager.getLogger(KnownWorkflows.class);

  private final long fence;
  private final TableFollower follower;
  private final Executor loop;
  private final SharedAttempt read;
  private final LogLimit logLimit = new LogLimit(MAX_LINES_PER_SECOND);
  private volatile long appliedMillis = NEVER;
  private long lastReadMillis = NEVER;
  private boolean isHeld;

  /**
   * Creates the age of one term.
   *
   * @param loop runs actions on the owner's loop in the order in which they are passed
   * @param calls runs the reads on demand
   */
  KnownWorkflows(long fence, TableFollower follower, Executor loop, Executor calls) {
    this.fence = fence;
    this.follower = follower;
    this.loop = loop;
    read = new SharedAttempt(calls, follower::nowMillis, follower::refreshWithoutTurn);
  }

  /** Makes the follower read more often; called once the loop receives all changes. */
  void start() {
    follower.setWaitLimitMillis(OWNER_WAIT_MILLIS);
    follower.setPauseMillis(FleetServices.OWNER_PAUSE_MILLIS);
    noteApplied();
  }

  /** Makes the follower read as seldom as on other hosts. */
  void stop() {
    follower.setWaitLimitMillis(Integer.MAX_VALUE);
    follower.setPauseMillis(FleetServices.FOLLOWER_PAUSE_MILLIS);
  }

  /** Returns the age of what the loop has applied, in ms. */
  long ageMillis() {
    return follower.nowMillis() - appliedMillis;
  }

  /** Notes what the loop will have applied before the next pass, and reads an old table. */
  void update() {
    noteApplied();
    long nowMillis = follower.nowMillis();
    if (follower.ageMillis() >= READ_AGE_MILLIS
        && nowMillis - lastReadMillis >= READ_INTERVAL_MILLIS) {
      lastReadMillis = nowMillis;
      read.runSince(NEVER);
    }
    logChange(nowMillis);
  }

  /** The changes of a read were passed to the loop before the read counted. */
  private void noteApplied() {
    long caughtUpMillis = follower.caughtUpMillis();
    loop.execute(() -> appliedMillis = caughtUpMillis);
  }

  private void logChange(long nowMillis) {
    long ageMillis = ageMillis();
    boolean wasHeld = isHeld;
    isHeld = ageMillis >= MAX_START_AGE_MILLIS;
    if (isHeld != wasHeld && logLimit.mayLog(nowMillis)) {
      LOG.info(
          "event={} fence={} workflows_age_ms={} read_age_ms={} {}",
          isHeld ? "starts_held" : "starts_resumed",
          fence,
          ageMillis,
          follower.ageMillis(),
          follower.readStatus(nowMillis));
    }
  }
}
