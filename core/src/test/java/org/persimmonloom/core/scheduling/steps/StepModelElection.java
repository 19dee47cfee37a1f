package org.persimmonloom.core.scheduling.steps;

import org.persimmonloom.core.scheduling.steps.StepModelHost.Lane;
import org.persimmonloom.core.scheduling.steps.StepModelStore.Claim;

/** A host's part in the election of the owner, as in {@code Ownership} and {@code Renewals}. */
final class StepModelElection {
  static final long CLAIM_AFTER_MILLIS = 1_800;
  private static final long RENEWAL_INTERVAL_MILLIS = 500;
  private static final long READ_INTERVAL_MILLIS = 100;
  private static final long READ_LIMIT_MILLIS = 1_000;
  private static final long OWN_CALL_MILLIS = 300;
  private static final long RELAY_MILLIS = 1_200;
  private static final long RETRY_MILLIS = 100;
  private static final long MAX_FAILED_AGE_MILLIS = 4_000;
  private static final long MAX_FAILED_DURATION_MILLIS = 2_000;
  private static final long NEVER = Long.MIN_VALUE / 4;

  private final StepModel model;
  private final StepModelHost host;
  private final long incarnation;
  private Claim newest;
  private long end;
  private long fence = -1;
  private long endedFence;
  private long unchangedSince;
  private long lastRead;
  private long renewedMillis = NEVER;
  private long failedMillis = NEVER;
  private StepModelSession session;

  StepModelElection(StepModel model, StepModelHost host, long incarnation) {
    this.model = model;
    this.host = host;
    this.incarnation = incarnation;
    unchangedSince = model.now();
    lastRead = model.now();
  }

  void start() {
    host.run(Lane.OWNERSHIP, 1 + host.number, this::step);
  }

  boolean isOwner() {
    return fence >= 0;
  }

  StepModelSession session() {
    return session;
  }

  /** Returns the session that observes the workflow table; null if there is none. */
  StepModelSession observer() {
    return session != null && session.isObserving() ? session : null;
  }

  long renewalAge(long termFence) {
    if (fence != termFence) {
      return Long.MAX_VALUE;
    }
    long age = model.now() - renewedMillis;
    boolean counts = age < CLAIM_AFTER_MILLIS || model.now() - failedMillis < MAX_FAILED_AGE_MILLIS;
    return counts ? age : Long.MAX_VALUE;
  }

  void stepDown(long termFence) {
    if (fence == termFence) {
      lose("fenced");
    }
  }

  private void step() {
    if (fence >= 0) {
      host.run(Lane.OWNERSHIP, RENEWAL_INTERVAL_MILLIS, this::renew);
    } else {
      waitForClaim();
    }
  }

  private void again(long delay) {
    host.run(Lane.OWNERSHIP, delay, this::step);
  }

  private void noteRead(boolean isChanged) {
    lastRead = model.now();
    if (isChanged) {
      unchangedSince = lastRead;
    }
  }

  private void apply(StepModelStore.ClaimRead read) {
    if (!read.claims().isEmpty()) {
      newest = read.claims().get(read.claims().size() - 1);
    }
    end = read.end();
  }

  private boolean isOwnCurrentTerm() {
    return newest != null
        && newest.host() == host.number
        && newest.incarnation() == incarnation
        && newest.fence() > endedFence;
  }

  private boolean isUnowned() {
    return newest == null || newest.host() == host.number && !isOwnCurrentTerm();
  }

  private void waitForClaim() {
    long sent = model.now();
    if (sent - lastRead > CLAIM_AFTER_MILLIS) {
      unchangedSince = sent;
    }
    host.callStore(
        Lane.OWNERSHIP,
        READ_LIMIT_MILLIS,
        () -> model.store().claims(end),
        read -> {
          if (read == null) {
            noteRead(true);
            again(RETRY_MILLIS);
            return;
          }
          noteRead(!read.claims().isEmpty());
          apply(read);
          if (isOwnCurrentTerm()) {
            gain(newest.fence(), sent);
            again(0);
          } else if (isUnowned() || lastRead - unchangedSince >= CLAIM_AFTER_MILLIS) {
            host.run(Lane.OWNERSHIP, model.noise(150, "stagger " + host.number), this::claim);
          } else {
            again(READ_INTERVAL_MILLIS);
          }
        });
  }

  private void claim() {
    long sent = model.now();
    long at = end;
    host.callStore(
        Lane.OWNERSHIP,
        READ_LIMIT_MILLIS,
        () -> model.store().claimAt(at, new Claim(host.number, incarnation, 0)),
        offset -> {
          if (offset != null && offset >= 0) {
            end = offset + 1;
            newest = new Claim(host.number, incarnation, offset + 1);
            gain(offset + 1, sent);
            again(0);
          } else {
            unchangedSince = model.now();
            again(offset == null ? RETRY_MILLIS : 0);
          }
        });
  }

  private void gain(long newFence, long sent) {
    renewedMillis = Math.max(renewedMillis, sent);
    fence = newFence;
    model.trace("host %d owns with fence %d", host.number, fence);
    session = new StepModelSession(model, host, this, fence);
    session.start();
  }

  private void renew() {
    long renewed = fence;
    if (renewed < 0) {
      again(0);
      return;
    }
    long sent = model.now();
    long at = end;
    Claim record = new Claim(host.number, incarnation, renewed);
    host.callStore(
        Lane.OWNERSHIP,
        OWN_CALL_MILLIS,
        () -> model.store().claimAt(at, record),
        offset -> {
          if (offset == null) {
            relay(record, at, sent);
          } else {
            renewalAnswered(offset, record, sent);
          }
        });
  }

  private void relay(Claim record, long at, long sent) {
    int peer = model.peerOf(host.number);
    host.callStoreFrom(
        peer,
        Lane.OWNERSHIP,
        RELAY_MILLIS,
        () -> model.store().claimAt(at, record),
        offset -> {
          if (offset == null) {
            if (model.now() - sent <= MAX_FAILED_DURATION_MILLIS) {
              failedMillis = Math.max(failedMillis, sent);
            }
            again(0);
          } else {
            renewalAnswered(offset, record, sent);
          }
        });
  }

  private void renewalAnswered(long offset, Claim record, long sent) {
    if (offset >= 0) {
      end = offset + 1;
      newest = record;
      renewedMillis = Math.max(renewedMillis, sent);
      again(0);
      return;
    }
    host.callStore(
        Lane.OWNERSHIP,
        READ_LIMIT_MILLIS,
        () -> model.store().claims(end),
        read -> {
          if (read != null) {
            apply(read);
            if (newest.fence() == record.fence() && newest.incarnation() == incarnation) {
              renewedMillis = Math.max(renewedMillis, sent);
            } else if (fence == record.fence()) {
              lose("superseded");
            }
          }
          again(0);
        });
  }

  private void lose(String cause) {
    model.trace("host %d loses fence %d: %s", host.number, fence, cause);
    endedFence = fence;
    fence = -1;
    noteRead(true);
    if (session != null) {
      session.stop();
      session = null;
    }
  }
}
