package org.persimmonloom.runtime.settings;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Reads the settings file of an entry host and reports every error at once. Stateless. */
public final class EntrySettingsParser {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern ADDRESS =
      Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):(\\d{1,5})");
  private static final int MIN_TOKEN_CHARACTERS = 8;

  /** Returns the settings, or one failure that lists every error with section, key and reason. */
  public Either<Failure, EntrySettings> parse(String text) {
    Ini ini = new Ini();
    Config config = new Config();
    config.setEscape(false);
    ini.setConfig(config);
    try {
      ini.load(new StringReader(text));
    } catch (IOException | RuntimeException e) {
      return Either.left(Failure.of(ResultCode.SETTINGS_INVALID, 1, e.getMessage()));
    }
    List<String> errors = new ArrayList<>(unknownKeys(ini));
    Map<SettingKey, String> values = new EnumMap<>(SettingKey.class);
    for (SettingKey setting : SettingKey.values()) {
      String found = ini.get(setting.section(), setting.key());
      String value = found == null ? setting.defaultValue() : found.strip();
      Optional<String> error =
          value == null ? Optional.of("required") : check(setting.type(), value);
      error.ifPresent(reason -> errors.add(describe(setting.section(), setting.key(), reason)));
      values.put(setting, value);
    }
    if (!errors.isEmpty()) {
      return Either.left(
          Failure.of(ResultCode.SETTINGS_INVALID, errors.size(), String.join("; ", errors)));
    }
    return Either.right(build(values));
  }

  private static List<String> unknownKeys(Ini ini) {
    List<String> errors = new ArrayList<>();
    for (String section : ini.keySet()) {
      for (String key : ini.get(section).keySet()) {
        boolean known =
            Arrays.stream(SettingKey.values())
                .anyMatch(it -> it.section().equals(section) && it.key().equals(key));
        if (!known) {
          errors.add(describe(section, key, "unknown key"));
        }
      }
    }
    return errors;
  }

  private static String describe(String section, String key, String reason) {
    return "[" + section + "] " + key + ": " + reason;
  }

  private static Optional<String> check(SettingKey.Type type, String value) {
    return switch (type) {
      case NAME -> matches(NAME, value, "must match " + NAME.pattern());
      case TEXT ->
          value.length() >= MIN_TOKEN_CHARACTERS
              ? Optional.empty()
              : Optional.of("must have at least " + MIN_TOKEN_CHARACTERS + " characters");
      case ADDRESS -> checkAddress(value);
      case ADDRESSES -> split(value).stream().flatMap(it -> checkAddress(it).stream()).findFirst();
      case URL -> checkUrl(value);
      case MILLIS -> matches(Pattern.compile("\\d{1,12}"), value, "must be whole milliseconds");
    };
  }

  private static Optional<String> matches(Pattern pattern, String value, String reason) {
    return pattern.matcher(value).matches() ? Optional.empty() : Optional.of(reason);
  }

  private static Optional<String> checkAddress(String value) {
    var matcher = ADDRESS.matcher(value);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > 65_535) {
      return Optional.of("must be IP:PORT, host names are not resolved");
    }
    return Optional.empty();
  }

  private static Optional<String> checkUrl(String value) {
    try {
      URI uri = URI.create(value);
      boolean isHttp = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
      return isHttp && uri.getHost() != null
          ? Optional.empty()
          : Optional.of("must be an http or https address");
    } catch (IllegalArgumentException e) {
      return Optional.of("must be an http or https address");
    }
  }

  private static List<String> split(String value) {
    return Arrays.stream(value.split(",")).map(String::strip).filter(it -> !it.isEmpty()).toList();
  }

  /** Returns the socket address of a checked {@code IP:PORT}. */
  public static InetSocketAddress address(String value) {
    int colon = value.lastIndexOf(':');
    return new InetSocketAddress(
        value.substring(0, colon), Integer.parseInt(value.substring(colon + 1)));
  }

  private static EntrySettings build(Map<SettingKey, String> values) {
    return new EntrySettings(
        values.get(SettingKey.NAME),
        values.get(SettingKey.DATA_CENTRE),
        values.get(SettingKey.REGION),
        address(values.get(SettingKey.CALLER_ADDRESS)),
        address(values.get(SettingKey.OPERATOR_ADDRESS)),
        address(values.get(SettingKey.PEER_ADDRESS)),
        split(values.get(SettingKey.PEER_SEEDS)).stream()
            .map(EntrySettingsParser::address)
            .toList(),
        values.get(SettingKey.OPERATOR_TOKEN),
        values.get(SettingKey.LOG_URL),
        values.get(SettingKey.HOST_LIST_URL),
        Long.parseLong(values.get(SettingKey.BALANCER_DELAY_MILLIS)),
        Long.parseLong(values.get(SettingKey.STOP_DEADLINE_MILLIS)),
        Long.parseLong(values.get(SettingKey.LOG_RETENTION_MILLIS)));
  }
}
