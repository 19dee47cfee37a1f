package org.persimmonloom.tool.command;

import static org.assertj.core.api.Assertions.assertThat;

import com.beust.jcommander.JCommander;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.runtime.settings.SettingKey;

class CommandTest {
  private static final Path ROOT = Path.of("..");
  private static final Pattern SHELL_LINE = Pattern.compile("    bin/persimmonloom (.*)");
  private static final Pattern CODE_ROW = Pattern.compile("\\| (\\d+) \\| `(\\w+)` \\| `(.*)` \\|");

  /** A word, whose parts in single quotes may hold spaces. */
  private static final Pattern WORD = Pattern.compile("(?:'[^']*'|[^\\s'])+");

  private static String read(String file) throws Exception {
    return Files.readString(ROOT.resolve(file));
  }

  static Stream<String> commandLines() throws Exception {
    List<String> lines = new ArrayList<>();
    for (String file : List.of("README.md", "docs/testing.md")) {
      read(file)
          .lines()
          .map(SHELL_LINE::matcher)
          .filter(Matcher::matches)
          .forEach(it -> lines.add(it.group(1)));
    }
    Main.commands()
        .forEach(
            (name, command) -> {
              lines.add(name + " --help");
              command.examples().forEach(it -> lines.add(it.replace("persimmonloom ", "")));
            });
    return lines.stream();
  }

  /** Guards against documents and help texts that show commands which don't exist. */
  @ParameterizedTest
  @MethodSource("commandLines")
  void documentedCommandsParse(String line) {
    List<String> words =
        WORD.matcher(line).results().map(it -> it.group().replace("'", "")).toList();
    Map<String, Command> commands = Main.commands();
    int length =
        words.size() > 1 && commands.containsKey(words.get(0) + " " + words.get(1)) ? 2 : 1;
    Command command = commands.get(String.join(" ", words.subList(0, length)));
    assertThat(command).as(line).isNotNull();
    if (!words.contains("--help")) {
      JCommander.newBuilder()
          .addObject(command)
          .build()
          .parse(words.subList(length, words.size()).toArray(new String[0]));
    }
  }

  /** Guards against a table of result codes that differs from the program. */
  @Test
  void resultCodesAreDocumented() throws Exception {
    List<String> documented =
        read("docs/result-codes.md")
            .lines()
            .map(CODE_ROW::matcher)
            .filter(Matcher::matches)
            .map(it -> it.group(1) + " " + it.group(2) + " " + it.group(3))
            .toList();
    List<String> expected =
        Stream.of(ResultCode.values())
            .map(it -> it.number() + " " + it + " " + it.template())
            .toList();
    assertThat(documented).isEqualTo(expected);
  }

  /** Guards against settings without documentation, and against a default that differs. */
  @Test
  void settingsAreDocumented() throws Exception {
    String page = read("docs/settings.md");
    for (SettingKey key : SettingKey.values()) {
      String fallback = key.defaultValue() == null ? "required" : "`" + key.defaultValue() + "`";
      String row =
          "| `%s` | `%s` | %s |"
              .formatted(key.section(), key.key(), fallback.equals("``") ? "empty" : fallback);
      assertThat(page).as(key.toString()).contains(row);
    }
  }

  /** Guards against a list that loses columns or values. */
  @Test
  void tablesAlignTheirColumns() {
    String json = "[{\"name\":\"entry-1\",\"revision\":3},{\"name\":\"b\",\"lag\":10}]";
    assertThat(JsonTable.format(json).get())
        .isEqualTo("name     revision  lag\nentry-1  3\nb                  10");
    assertThat(JsonTable.format("{}").isLeft()).isTrue();
  }

  /** Guards against a check that reaches for an entry host, or stops at the first error. */
  @Test
  void validateListsEveryErrorOnALineOfItsOwn(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("note.ini");
    Files.writeString(file, "[release]\nname = n\n[add pool p]\nkind = x\ncolour = red\n");
    ReleaseValidateCommand command = new ReleaseValidateCommand();
    JCommander.newBuilder().addObject(command).build().parse("--file", file.toString());
    var result = command.run();
    assertThat(result.getLeft().code()).isEqualTo(ResultCode.NOTE_INVALID);
    assertThat(result.getLeft().detail().lines())
        .hasSize(3)
        .anyMatch(it -> it.startsWith("  [add pool p] kind: "))
        .anyMatch(it -> it.startsWith("  [add pool p] colour: "));
    assertThat(
            Main.run(
                List.of("release", "validate", "--file", "../config/examples/first-release.ini")))
        .isEqualTo(ResultCode.OK);
  }
}
