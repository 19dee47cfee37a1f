package org.persimmonloom.core.explain;

import java.util.Objects;

/**
 * What a decision is about. Immutable.
 *
 * @param id name of the subject; cut at {@link #MAX_CHARACTERS}, since a refused proposal may name
 *     anything
 */
public record Subject(Kind kind, String id) {
  /** The kinds of subject. */
  public enum Kind {
    HOST,
    POOL,
    WAVE,
    JOB,
    REQUEST,
    /** A part of the platform's host list. */
    LIST
  }

  /** Longer than any valid name. */
  public static final int MAX_CHARACTERS = 128;

  public Subject {
    Objects.requireNonNull(kind, "kind");
    id = id.substring(0, Math.min(id.length(), MAX_CHARACTERS));
  }

  public static Subject host(String id) {
    return new Subject(Kind.HOST, id);
  }

  public static Subject pool(String id) {
    return new Subject(Kind.POOL, id);
  }

  public static Subject wave(String id) {
    return new Subject(Kind.WAVE, id);
  }

  public static Subject job(String id) {
    return new Subject(Kind.JOB, id);
  }

  public static Subject request(String id) {
    return new Subject(Kind.REQUEST, id);
  }

  public static Subject list(String domain) {
    return new Subject(Kind.LIST, domain);
  }
}
