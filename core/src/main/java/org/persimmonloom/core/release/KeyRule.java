package org.persimmonloom.core.release;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The rule that validates the value of one key in a release note.
 *
 * @param key name of the key
 * @param type type of the value
 * @param defaultValue value of an absent key; null if the key is required
 * @param minimum minimum value, inclusive, for numbers
 * @param maximum maximum value, inclusive, for numbers
 * @param choices permitted values, for choices
 */
public record KeyRule(
    String key,
    Type type,
    String defaultValue,
    double minimum,
    double maximum,
    List<String> choices) {
  /** Names of pools, services, budgets, teams and hosts. */
  public static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

  /** The type of a value. */
  public enum Type {
    NAME,
    NUMBER,
    DECIMAL,
    CHOICE
  }

  static KeyRule name(String key, String defaultValue) {
    return new KeyRule(key, Type.NAME, defaultValue, 0, 0, List.of());
  }

  static KeyRule requiredName(String key) {
    return new KeyRule(key, Type.NAME, null, 0, 0, List.of());
  }

  static KeyRule number(String key, long defaultValue, long minimum, long maximum) {
    return new KeyRule(key, Type.NUMBER, Long.toString(defaultValue), minimum, maximum, List.of());
  }

  static KeyRule requiredNumber(String key, long minimum, long maximum) {
    return new KeyRule(key, Type.NUMBER, null, minimum, maximum, List.of());
  }

  static KeyRule decimal(String key, double defaultValue, double minimum, double maximum) {
    return new KeyRule(
        key, Type.DECIMAL, Double.toString(defaultValue), minimum, maximum, List.of());
  }

  static KeyRule choice(String key, String defaultValue, String... choices) {
    return new KeyRule(key, Type.CHOICE, defaultValue, 0, 0, List.of(choices));
  }

  /** Returns whether a definition without this key is invalid. */
  public boolean isRequired() {
    return defaultValue == null;
  }

  /** Returns the reason why {@code value} is invalid; empty if it is valid. */
  public Optional<String> check(String value) {
    return switch (type) {
      case NAME -> checkName(value);
      case CHOICE ->
          choices.contains(value)
              ? Optional.empty()
              : Optional.of("must be one of " + String.join(", ", choices));
      case NUMBER, DECIMAL -> checkNumber(value);
    };
  }

  private Optional<String> checkName(String value) {
    boolean isUnset = value.isEmpty() && !isRequired();
    boolean isEveryPool = value.equals("*") && key.equals("pool");
    if (isUnset || isEveryPool || NAME.matcher(value).matches()) {
      return Optional.empty();
    }
    return Optional.of("must match " + NAME.pattern());
  }

  private Optional<String> checkNumber(String value) {
    try {
      double number = type == Type.NUMBER ? Long.parseLong(value) : Double.parseDouble(value);
      if (number >= minimum && number <= maximum) {
        return Optional.empty();
      }
      return Optional.of("must be from " + formatBound(minimum) + " to " + formatBound(maximum));
    } catch (NumberFormatException e) {
      return Optional.of(type == Type.NUMBER ? "must be a whole number" : "must be a number");
    }
  }

  private String formatBound(double bound) {
    return type == Type.NUMBER ? Long.toString((long) bound) : Double.toString(bound);
  }
}
