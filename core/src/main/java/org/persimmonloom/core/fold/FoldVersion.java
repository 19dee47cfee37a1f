package org.persimmonloom.core.fold;

/** The version of the fold rules that this program implements. */
public final class FoldVersion {
  /**
   * The highest supported version. It is raised whenever the same records would fold to a different
   * state. During a roll-out, entry hosts with the earlier rules then stop instead of diverging.
   */
  public static final int CURRENT = 1;

  private FoldVersion() {}
}
