package org.persimmonloom.core.claim;

import io.vavr.control.Either;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/**
 * Key that a caller assigns to a request that may not be repeated: {@code <unix millis>-<random>}.
 * The key contains its creation time, so that a key whose claim was discarded is recognised as
 * expired without a record of it.
 *
 * @param text the key as sent
 * @param createdMillis creation time in the key, in milliseconds since the epoch
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
