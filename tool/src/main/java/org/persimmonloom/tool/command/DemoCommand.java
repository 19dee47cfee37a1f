package org.persimmonloom.tool.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;
import org.persimmonloom.tool.demo.DemoDeployment;
import org.persimmonloom.tool.demo.DemoOptions;
import org.persimmonloom.tool.demo.DemoRun;
import org.persimmonloom.tool.demo.DemoScript;
import org.persimmonloom.tool.oracle.OracleVerdict;

@Parameters(
    commandDescription =
        "Run 8 entry hosts with their platform in one process, under load and faults, and judge"
            + " the run")
final class DemoCommand implements Command {
  @Parameter(names = "--deployment", description = "depot or bot")
  private String deployment = "depot";

  @Parameter(names = "--seconds", description = "length of the demand")
  private long seconds = 22;

  @Parameter(names = "--seed", description = "seed of the demand")
  private long seed = 1;

  @Parameter(names = "--logs", description = "show the log lines of the entry hosts")
  private boolean showsLogs;

  @Override
  public List<String> examples() {
    return List.of("persimmonloom demo --deployment bot --seed 7");
  }

  @Override
  public Either<Failure, String> run() {
    if (!deployment.equals("depot") && !deployment.equals("bot")) {
      return Either.left(Failure.of(ResultCode.USAGE, "--deployment depot|bot"));
    }
    if (seconds < 1) {
      return Either.left(Failure.of(ResultCode.USAGE, "--seconds must be at least 1"));
    }
    if (!showsLogs) {
      Configurator.setRootLevel(Level.OFF);
    }
    DemoOptions options = new DemoOptions(DemoDeployment.named(deployment), seconds, seed);
    try {
      return judge(new DemoRun(options, System.out).run(DemoScript.standard(options.deployment())));
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.INTERNAL, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(Failure.of(ResultCode.STOPPING));
    }
  }

  private static Either<Failure, String> judge(OracleVerdict verdict) {
    if (verdict.isOk()) {
      return Either.right(verdict.line());
    }
    System.out.println(verdict.line());
    return Either.left(Failure.of(ResultCode.VERDICT_FAILED, String.join("; ", verdict.broken())));
  }
}
