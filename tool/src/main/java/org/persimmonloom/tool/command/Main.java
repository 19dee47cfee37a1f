package org.persimmonloom.tool.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** The operators' command. Its exit code is the number of the result code. */
public final class Main {
  private Main() {}

  private static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("release apply", new ReleaseApplyCommand());
    commands.put("release show", new ReleaseShowCommand());
    commands.put("job submit", new JobSubmitCommand());
    commands.put("job list", new JobListCommand());
    commands.put("job show", new JobShowCommand());
    commands.put("job cancel", new JobCancelCommand());
    commands.put("job release", new JobReleaseCommand());
    commands.put("measure jobs", new MeasureJobsCommand());
    commands.put("standin", new StandInCommand());
    return commands;
  }

  /** Runs one command. */
  public static void main(String[] arguments) {
    System.exit(run(List.of(arguments)).number());
  }

  /** Runs the command that the words name and returns its result. */
  public static ResultCode run(List<String> words) {
    Map<String, Command> commands = commands();
    for (int length = Math.min(2, words.size()); length > 0; length--) {
      Command command = commands.get(String.join(" ", words.subList(0, length)));
      if (command != null) {
        return run(command, new ArrayList<>(words.subList(length, words.size())));
      }
    }
    System.err.println(
        Failure.of(
            ResultCode.USAGE,
            "persimmonloom COMMAND [--help]; commands: " + String.join(", ", commands.keySet())));
    return ResultCode.USAGE;
  }

  private static ResultCode run(Command command, List<String> options) {
    JCommander parser = JCommander.newBuilder().addObject(command).build();
    if (options.contains("--help")) {
      parser.usage();
      if (!command.examples().isEmpty()) {
        System.out.println("Examples:\n" + command.examples().indent(2).stripTrailing());
      }
      return ResultCode.OK;
    }
    try {
      parser.parse(options.toArray(new String[0]));
    } catch (ParameterException e) {
      System.err.println(Failure.of(ResultCode.USAGE, e.getMessage()));
      return ResultCode.USAGE;
    }
    return command
        .run()
        .fold(
            failure -> {
              System.err.println(failure);
              return failure.code();
            },
            text -> {
              System.out.println(text);
              return ResultCode.OK;
            });
  }
}
