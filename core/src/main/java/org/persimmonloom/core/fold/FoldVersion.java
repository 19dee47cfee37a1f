package org.persimmonloom.core.fold;

/** The versions of the fold rules that this program knows. */
public final class FoldVersion {
  /**
   * The highest version known. Raised whenever the same records would fold to a different state, so
   * that a mixed fleet during a roll-out stops instead of diverging.
   */
  public static final int CURRENT = 1;

  private FoldVersion() {}
}
