package org.persimmonloom.runtime.operator;

import javax.inject.Inject;
import javax.inject.Singleton;

/** Says that a planned stop has begun. Set once and never cleared. Safe for any thread. */
@Singleton
public final class StoppingFlag {
  private volatile boolean isSet;

  @Inject
  public StoppingFlag() {}

  /** Begins the planned stop: the readiness check fails from now on. */
  public void set() {
    isSet = true;
  }

  /** Returns whether a planned stop has begun. */
  public boolean isSet() {
    return isSet;
  }
}
