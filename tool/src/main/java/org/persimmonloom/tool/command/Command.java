package org.persimmonloom.tool.command;

import io.vavr.control.Either;
import java.util.List;
import org.persimmonloom.core.result.Failure;

/** One command of the operators, with its options as annotated fields. */
public interface Command {
  /** Returns the text to print, or why the command failed. */
  Either<Failure, String> run();

  /** Returns complete command lines for {@code --help}. */
  default List<String> examples() {
    return List.of();
  }
}
