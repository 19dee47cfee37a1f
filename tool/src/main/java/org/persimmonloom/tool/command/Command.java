package org.persimmonloom.tool.command;

import io.vavr.control.Either;
import org.persimmonloom.core.result.Failure;

/** One command of the operators, with its options as annotated fields. */
public interface Command {
  /** Returns the text to print, or why the command failed. */
  Either<Failure, String> run();

  /** Returns example calls, one a line, for {@code --help}. */
  default String examples() {
    return "";
  }
}
