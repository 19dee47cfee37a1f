package org.persimmonloom.core.claim;

import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * The key that a caller gives a request that may not be repeated: {@code <unix millis>-<random>}.
 * The time is part of the key, so that a key whose claim was discarded can be recognised as expired
 * without a record of it.
 *
 * @param text the key as sent
 * @param createdMillis the time in the key, in milliseconds since the epoch
 */
public record RequestKey(String text, long createdMillis) {
  private static final Pattern FORMAT = Pattern.compile("(\\d{1,15})-([A-Za-z0-9._~-]{8,64})");

  /** Returns the parsed key, or {@link ResultCode#REQUEST_KEY_INVALID}. */
  public static Either<Failure, RequestKey> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Either.left(
          Failure.of(
              ResultCode.REQUEST_KEY_INVALID,
              text.length() > 96 ? "of " + text.length() + " characters" : text,
              "must be <unix millis>-<8 to 64 random characters>"));
    }
    return Either.right(new RequestKey(text, Long.parseLong(matcher.group(1))));
  }
}
