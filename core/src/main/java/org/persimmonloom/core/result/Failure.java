package org.persimmonloom.core.result;

import java.util.Objects;

/**
 * A numbered error with a message that describes this occurrence. The left side of the {@code
 * Either} values that operations return.
 *
 * @param code numbered code that scripts match on; never {@link ResultCode#OK}
 * @param detail human-readable message
 */
public record Failure(ResultCode code, String detail) {
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Returns a failure whose detail is the template of {@code code} filled with the arguments. */
  public static Failure of(ResultCode code, Object... arguments) {
    return new Failure(code, code.message(arguments));
  }

  @Override
  public String toString() {
    return code.number() + " " + code + ": " + detail;
  }
}
