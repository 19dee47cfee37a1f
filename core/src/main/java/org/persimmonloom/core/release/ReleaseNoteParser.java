package org.persimmonloom.core.release;

import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.ini4j.Config;
import org.ini4j.Ini;
import org.ini4j.Profile;

/**
 * Parses the INI text of a release note and reports all syntax errors together. {@link
 * ReleaseCatalog} validates the changes against the definitions in force. Stateless and safe for
 * any thread.
 */
public final class ReleaseNoteParser {
  /** A note is stored as one log record and must fit into a single append. */
  public static final int MAX_CHARACTERS = 64 * 1024;

  private static final String RELEASE_SECTION = "release";

  /** Returns the parsed note, or all errors found in the text. */
  public Either<List<NoteError>, ReleaseNote> parse(String text) {
    if (text.length() > MAX_CHARACTERS) {
      return documentError("longer than " + MAX_CHARACTERS + " characters");
    }
    Ini ini = new Ini();
    Config config = new Config();
    config.setMultiSection(true);
    config.setMultiOption(true);
    config.setEscape(false);
    config.setEmptyOption(true);
    ini.setConfig(config);
    try {
      ini.load(new StringReader(text));
    } catch (IOException | RuntimeException e) {
      return documentError("not an INI document: " + e.getMessage());
    }
    return readSections(ini);
  }

  private static Either<List<NoteError>, ReleaseNote> documentError(String reason) {
    return Either.left(List.of(new NoteError("-", "-", reason)));
  }

  private Either<List<NoteError>, ReleaseNote> readSections(Ini ini) {
    List<NoteError> errors = new ArrayList<>();
    List<DefinitionChange> changes = new ArrayList<>();
    String name = null;
    Long basedOn = null;
    if (!ini.containsKey(RELEASE_SECTION)) {
      errors.add(new NoteError(RELEASE_SECTION, "-", "section is missing"));
    }
    for (String heading : ini.keySet()) {
      if (ini.length(heading) > 1) {
        errors.add(new NoteError(heading, "-", "section appears more than once"));
      }
      Map<String, String> values = readValues(ini.get(heading), errors);
      if (heading.equals(RELEASE_SECTION)) {
        name = readName(values, errors);
        basedOn = readBasedOn(values, errors);
      } else {
        readChange(heading, values, errors, changes);
      }
    }
    if (changes.isEmpty() && errors.isEmpty()) {
      errors.add(new NoteError("-", "-", "the note changes nothing"));
    }
    return errors.isEmpty()
        ? Either.right(new ReleaseNote(name, basedOn, changes))
        : Either.left(List.copyOf(errors));
  }

  private static Map<String, String> readValues(Profile.Section section, List<NoteError> errors) {
    Map<String, String> values = new TreeMap<>();
    for (String key : section.keySet()) {
      if (section.length(key) > 1) {
        errors.add(new NoteError(section.getName(), key, "key appears more than once"));
      }
      String value = section.get(key);
      values.put(key, value == null ? "" : value.strip());
    }
    return values;
  }

  private static String readName(Map<String, String> values, List<NoteError> errors) {
    String name = values.get("name");
    if (name == null || !KeyRule.NAME.matcher(name).matches()) {
      errors.add(new NoteError(RELEASE_SECTION, "name", "must match " + KeyRule.NAME.pattern()));
    }
    for (String key : values.keySet()) {
      if (!key.equals("name") && !key.equals("based_on")) {
        errors.add(new NoteError(RELEASE_SECTION, key, "unknown key"));
      }
    }
    return name;
  }

  private static Long readBasedOn(Map<String, String> values, List<NoteError> errors) {
    String text = values.get("based_on");
    if (text == null) {
      return null;
    }
    try {
      return Long.valueOf(text);
    } catch (NumberFormatException e) {
      errors.add(new NoteError(RELEASE_SECTION, "based_on", "must be a whole number"));
      return null;
    }
  }

  private static void readChange(
      String heading,
      Map<String, String> values,
      List<NoteError> errors,
      List<DefinitionChange> changes) {
    String[] words = heading.strip().split("\\s+");
    if (words.length == 2 && words[0].equals("change") && words[1].equals("weights")) {
      words = new String[] {"change", "weights", "weights"};
    }
    if (words.length != 3) {
      errors.add(new NoteError(heading, "-", "heading must be: add|change|withdraw KIND NAME"));
      return;
    }
    ChangeAction action = findConstant(ChangeAction.values(), words[0]);
    DefinitionKind kind = findConstant(DefinitionKind.values(), words[1]);
    if (action == null || kind == null) {
      errors.add(
          new NoteError(
              heading,
              "-",
              "heading must be: add|change|withdraw pool|service|budget|team NAME, or change"
                  + " weights"));
      return;
    }
    if (!KeyRule.NAME.matcher(words[2]).matches()) {
      errors.add(new NoteError(heading, "-", "name must match " + KeyRule.NAME.pattern()));
    }
    checkKeys(heading, action, kind, values, errors);
    changes.add(new DefinitionChange(heading, action, kind, words[2], new TreeMap<>(values)));
  }

  private static void checkKeys(
      String heading,
      ChangeAction action,
      DefinitionKind kind,
      Map<String, String> values,
      List<NoteError> errors) {
    if (action == ChangeAction.WITHDRAW) {
      values
          .keySet()
          .forEach(key -> errors.add(new NoteError(heading, key, "withdraw sets no key")));
      return;
    }
    Map<String, KeyRule> rules = new TreeMap<>();
    kind.rules().forEach(rule -> rules.put(rule.key(), rule));
    values.forEach(
        (key, value) -> {
          KeyRule rule = rules.get(key);
          if (rule == null) {
            errors.add(new NoteError(heading, key, "unknown key"));
          } else {
            rule.check(value).ifPresent(reason -> errors.add(new NoteError(heading, key, reason)));
          }
        });
    if (action == ChangeAction.ADD) {
      for (KeyRule rule : kind.rules()) {
        if (rule.isRequired() && !values.containsKey(rule.key())) {
          errors.add(new NoteError(heading, rule.key(), "required"));
        }
      }
    }
  }

  private static <T extends Enum<T>> T findConstant(T[] constants, String word) {
    for (T constant : constants) {
      if (constant.name().toLowerCase(Locale.ROOT).equals(word)) {
        return constant;
      }
    }
    return null;
  }
}
