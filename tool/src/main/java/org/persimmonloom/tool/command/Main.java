package org.persimmonloom.tool.command;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.measure.MeasureRoutingCommand;
import org.persimmonloom.tool.measure.PassesCommand;
import org.persimmonloom.tool.measure.PolicyMeasureCommand;
import org.persimmonloom.tool.measure.SlopesCommand;

/** The operators' command. Its exit code is the number of the result code. */
public final class Main {
  private Main() {}

  static Map<String, Command> commands() {
    Map<String, Command> commands = new LinkedHashMap<>();
    commands.put("measure routing", new MeasureRoutingCommand());
    commands.put("release apply", new ReleaseApplyCommand());
    commands.put("release show", new ReleaseShowCommand());
    commands.put("release status", new ReleaseStatusCommand());
    commands.put("release validate", new ReleaseValidateCommand());
    commands.put("report burn", new ReportBurnCommand());
    commands.put("report capacity", new ReportCapacityCommand());
    commands.put("demo", new DemoCommand());
    commands.put("job submit", new JobSubmitCommand());
    commands.put("job list", new JobListCommand());
    commands.put("job show", new JobShowCommand());
    commands.put("job cancel", new JobCancelCommand());
    commands.put("job release", new JobReleaseCommand());
    commands.put("measure", new PolicyMeasureCommand());
    commands.put("pool list", new PoolListCommand());
    commands.put("pool show", new PoolShowCommand());
    commands.put("host list", new HostListCommand());
    commands.put("host move", new HostMoveCommand());
    commands.put("maintenance request", new MaintenanceRequestCommand());
    commands.put("maintenance status", new MaintenanceStatusCommand());
    commands.put("maintenance cancel", new MaintenanceCancelCommand());
    commands.put("maintenance plan", new MaintenancePlanCommand());
    commands.put("explain", new ExplainCommand());
    commands.put("measure jobs", new MeasureJobsCommand());
    commands.put("standin", new StandInCommand());
    commands.put("measure passes", new PassesCommand());
    commands.put("measure slopes", new SlopesCommand());
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
        String name = String.join(" ", words.subList(0, length));
        return run(name, command, new ArrayList<>(words.subList(length, words.size())));
      }
    }
    System.err.println(
        Failure.of(
            ResultCode.USAGE,
            "persimmonloom COMMAND [--help]; commands: " + String.join(", ", commands.keySet())));
    return ResultCode.USAGE;
  }

  private static ResultCode run(String name, Command command, List<String> options) {
    JCommander parser =
        JCommander.newBuilder().programName("persimmonloom " + name).addObject(command).build();
    if (options.contains("--help")) {
      printHelp(parser, command);
      parser.usage();
      command.examples().forEach(it -> System.out.println("  Example: persimmonloom " + it));
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

  private static void printHelp(JCommander parser, Command command) {
    Parameters description = command.getClass().getAnnotation(Parameters.class);
    if (description != null) {
      System.out.println(description.commandDescription());
    }
    parser.usage();
    if (!command.examples().isEmpty()) {
      System.out.println("  Examples:");
      command.examples().forEach(example -> System.out.println("    " + example));
    }
  }
}
