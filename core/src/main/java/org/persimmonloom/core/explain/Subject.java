package org.persimmonloom.core.explain;

import java.util.Objects;

/** What a decision is about. Immutable. */
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

  public Subject {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(id, "id");
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
