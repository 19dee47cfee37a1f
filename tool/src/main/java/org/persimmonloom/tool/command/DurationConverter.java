package org.persimmonloom.tool.command;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads durations such as {@code 500ms}, {@code 90s}, {@code 15m}, {@code 4h} or {@code 21d}. */
public final class DurationConverter implements IStringConverter<Long> {
  private static final Pattern FORM = Pattern.compile("(\\d{1,9})(ms|s|m|h|d)");

  @Override
  public Long convert(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new ParameterException("not a duration such as 500ms, 90s, 15m, 4h or 21d: " + text);
    }
    long unitMillis =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1_000;
          case "m" -> 60_000;
          case "h" -> 3_600_000;
          default -> 86_400_000;
        };
    return Long.parseLong(matcher.group(1)) * unitMillis;
  }
}
