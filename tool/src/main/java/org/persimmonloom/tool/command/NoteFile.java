package org.persimmonloom.tool.command;

import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.persimmonloom.core.release.NoteError;
import org.persimmonloom.core.result.Failure;
import org.persimmonloom.core.result.ResultCode;

/** Reads release notes for the commands and formats their errors. Stateless. */
final class NoteFile {
  private NoteFile() {}

  static Either<Failure, String> read(String file) {
    try {
      return Either.right(Files.readString(Path.of(file)));
    } catch (IOException e) {
      return Either.left(Failure.of(ResultCode.USAGE, "cannot read " + file));
    }
  }

  /** Returns the errors, each on a line of its own after the first line of the message. */
  static String lines(List<NoteError> errors) {
    return errors.stream().map(error -> "\n  " + error).collect(Collectors.joining());
  }

  /** Breaks the message of an entry host, which lists all errors on one line, into lines. */
  static Failure withLines(Failure failure) {
    return failure.code() == ResultCode.NOTE_INVALID
        ? new Failure(
            failure.code(), failure.detail().replace(": [", ":\n  [").replace("; [", "\n  ["))
        : failure;
  }
}
