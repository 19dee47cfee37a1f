package org.persimmonloom.runtime.workflow;

import java.util.Locale;
import java.util.concurrent.Executor;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * How recent a table is by which an owner decides: the age of what its loop has applied, not of
 * what has been read and waits for the loop. It counts from when the read was sent.
 *
 * <p>The follower's own read may stand still on its connection, so the table is read on demand
 * beside it before starts are held back. Confined to the owner's loop, except for the age.
 */
final class KnownTable {
  /**
   * A workflow may start up to 3,000 ms after its cancellation; a call to a worker takes up to 450
   * ms, and 350 ms remain for its delivery.
   */
  static final Bounds WORKFLOWS =
      new Bounds(Table.WORKFLOWS, 2_200, 1_200, 500, FleetServices.OWNER_PAUSE_MILLIS);

  /**
   * A worker may be given a task up to 2,000 ms after its entry that it drains; a call to it takes
   * up to 450 ms, and 150 ms remain for its delivery. The pause batches the heartbeats of many
   * workers and delays the use of a new one by this time.
   */
  static final Bounds WORKERS = new Bounds(Table.WORKERS, 1_400, 900, 250, 80);

  /**
   * Ages and reads of one table.
   *
   * @param maxStartAgeMillis age from which no task is started, in ms
   * @param readAgeMillis age beyond that of an idle table, from which the table is read on demand,
   *     in ms
   * @param waitMillis wait of the follower's reads in ms; the age of an idle table comes close to
   *     two waits, as it counts from when the last read was sent that has ended
   * @param pauseMillis pause of the follower after a read that returned records, in ms
   */
  record Bounds(
      Table table, long maxStartAgeMillis, long readAgeMillis, int waitMillis, long pauseMillis) {
    /** Returns a follower of the table that reads as these bounds require. */
    TableFollower newFollower(FleetServices services, TableFollower.Listener listener) {
      return new TableFollower(
          services.log(), table, listener, services.clock(), waitMillis, pauseMillis);
    }
  }

  /** Minimum time between two reads on demand, as the follower retries by itself. */
  private static final long READ_INTERVAL_MILLIS = 200;

  private static final int MAX_LINES_PER_SECOND = 2;
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final Logger LOG = LogManager.getLogger(KnownTable.class);

  private final Bounds bounds;
  private final long fence;
  private final TableFollower follower;
  private final Executor loop;
  private final Runnable requestPass;
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
   * @param requestPass called on the loop once an old table is young again
   */
  KnownTable(
      Bounds bounds,
      long fence,
      TableFollower follower,
      Executor loop,
      Executor calls,
      Runnable requestPass) {
    this.bounds = bounds;
    this.fence = fence;
    this.follower = follower;
    this.loop = loop;
    this.requestPass = requestPass;
    read = new SharedAttempt(calls, follower::nowMillis, follower::refreshWithoutTurn);
  }

  /** Makes the follower read more often; called once the loop receives all changes. */
  void start() {
    follower.setWaitLimitMillis(bounds.waitMillis());
    follower.setPauseMillis(bounds.pauseMillis());
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

  /** Returns whether what the loop has applied is too old for starts, or the table not loaded. */
  boolean isOld() {
    return ageMillis() >= bounds.maxStartAgeMillis();
  }

  /** Notes what the loop will have applied before the next pass, and reads an old table. */
  void update() {
    noteApplied();
    long nowMillis = follower.nowMillis();
    if (follower.isLoaded()
        && follower.ageMillis() >= bounds.readAgeMillis()
        && nowMillis - lastReadMillis >= READ_INTERVAL_MILLIS) {
      lastReadMillis = nowMillis;
      read.runSince(NEVER);
    }
    logChange(nowMillis);
  }

  /** The changes of a read were passed to the loop before the read counted. */
  private void noteApplied() {
    long caughtUpMillis = follower.caughtUpMillis();
    loop.execute(
        () -> {
          boolean wasOld = isOld();
          appliedMillis = caughtUpMillis;
          if (wasOld && !isOld()) {
            requestPass.run();
          }
        });
  }

  private void logChange(long nowMillis) {
    boolean wasHeld = isHeld;
    isHeld = appliedMillis != NEVER && isOld();
    if (isHeld != wasHeld && logLimit.mayLog(nowMillis)) {
      LOG.info(
          "event={} fence={} {}_age_ms={} read_age_ms={} {} table={}",
          isHeld ? "starts_held" : "starts_resumed",
          fence,
          bounds.table().name().toLowerCase(Locale.ROOT),
          ageMillis(),
          follower.ageMillis(),
          follower.readStatus(nowMillis),
          bounds.table());
    }
  }
}
