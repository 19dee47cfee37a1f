package org.persimmonloom.core.explain;

import java.util.Objects;

/**
 * The subject of a decision. Immutable.
 *
 * @param id name of the subject; truncated to {@link #MAX_CHARACTERS}, because a refused proposal
 *     can contain an arbitrary name
 */
public record Subject(Kind kind, String id) {
  /** The kinds of subject. */
  public enum Kind {
    HOST,
    POOL,
    WAVE,
    JOB,
    REQUEST,
    /** A domain of the platform's host list. */
    LIST
  }

  /** Maximum length of an id; exceeds the length of any valid name. */
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
